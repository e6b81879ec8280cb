/**
 * One controller as a whole: the wiring of its components, its control loop, the scheduling cycle, the routing of
 * requests, and the process around it.
 */
package org.gullway.controller;
