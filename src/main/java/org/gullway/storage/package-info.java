/**
 * Access to the state store: reading, watching and committing records, and maintaining this controller's membership.
 * This package makes no decisions about jobs or machines.
 */
package org.gullway.storage;
