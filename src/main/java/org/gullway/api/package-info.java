/**
 * Handles the requests of users: submissions, status queries and cancellations. Every response that contains the state
 * of a job is sent by {@link org.gullway.api.LinearizableResponses}.
 */
package org.gullway.api;
