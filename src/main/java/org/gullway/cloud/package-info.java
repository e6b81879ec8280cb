/** The cloud provider: machines are provisioned, listed and released as the autoscaler decides. */
package org.gullway.cloud;
