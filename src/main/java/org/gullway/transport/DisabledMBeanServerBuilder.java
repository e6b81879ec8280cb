package org.gullway.transport;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Disables MBean servers in this process. XNIO would create one to register its workers, which takes a large part of
 * the start-up time on a small machine, and no JMX client can connect to the process. XNIO works without an MBean
 * server.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

    /** Makes each later attempt to create an MBean server in this process fail. Must be called before XNIO is used. */
    public static void install() {
        System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
    }

    @Override
    public MBeanServer newMBeanServer(String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("MBean servers are disabled in this process");
    }
}
