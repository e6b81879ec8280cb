/**
 * Requests of users: submissions, status queries and cancellations, from their arrival until they are answered. Every
 * response with the state of a job goes through {@link org.gullway.api.LinearizableResponses}.
 */
package org.gullway.api;
