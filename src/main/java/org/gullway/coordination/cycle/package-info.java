/** The planning steps of a scheduling cycle and their time budget. */
package org.gullway.coordination.cycle;
