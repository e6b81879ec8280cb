/**
 * Access to the state store: reading, watching and committing records, and this controller's membership. Nothing here
 * decides about jobs or machines.
 */
package org.gullway.storage;
