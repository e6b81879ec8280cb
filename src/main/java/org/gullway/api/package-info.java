/**
 * Users' requests: submissions, questions and cancellations, from their arrival until they are answered. Every answer that
 * tells a job's state goes through {@link org.gullway.api.LinearizableResponses}.
 */
package org.gullway.api;
