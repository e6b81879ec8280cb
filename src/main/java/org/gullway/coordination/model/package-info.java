/** The records of the state store, this controller's replica of them, and the transactions that change them. */
package org.gullway.coordination.model;
