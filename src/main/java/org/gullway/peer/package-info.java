/**
 * Exchanges messages between controllers: resource offers, attempt completions, known cancellations and reports of
 * whether the state store responds.
 */
package org.gullway.peer;
