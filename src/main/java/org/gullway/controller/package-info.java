/** Wires one controller: the event loop, the scheduling cycle, the listeners and all collaborators. */
package org.gullway.controller;
