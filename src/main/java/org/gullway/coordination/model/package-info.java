/** Records of the state store, the cluster state that they make up, and transactions that change them. */
package org.gullway.coordination.model;
