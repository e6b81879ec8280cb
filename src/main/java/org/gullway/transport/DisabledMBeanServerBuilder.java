package org.gullway.transport;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Prevents XNIO from creating the platform MBean server, which it would do to register each of its workers. Creating it
 * takes a large part of the start-up time on a small machine, and no JMX client can connect to it. XNIO works without
 * it.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

    /** Disables the creation of MBean servers in this process. Must be called before XNIO is used. */
    public static void install() {
        System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
    }

    @Override
    public MBeanServer newMBeanServer(String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("there is no management server in this process");
    }
}
