/**
 * Assembles and runs a controller: the wiring of its components, its control loop, the scheduling cycle, the routing of
 * requests, and the daemon process.
 */
package org.gullway.controller;
