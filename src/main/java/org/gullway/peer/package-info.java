/** Exchanges messages between controllers: resource offers, attempt completions and known cancellations. */
package org.gullway.peer;
