/** Access to the cloud provider: lists machines, and provisions and releases them as the autoscaler decides. */
package org.gullway.cloud;
