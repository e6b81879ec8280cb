/** The command line: its options, its help and its error messages. */
package org.gullway.cli;
