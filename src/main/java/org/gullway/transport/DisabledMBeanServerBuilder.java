package org.gullway.transport;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Keeps the platform's management server from being set up, as XNIO would for each of its workers: that takes much of a start
 * on a small machine, and nothing can connect to it. XNIO goes on without.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

    /** From now on nothing in this process can set up a management server. To be called before XNIO is used. */
    public static void install() {
        System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
    }

    @Override
    public MBeanServer newMBeanServer(String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new UnsupportedOperationException("there is no management server in this process");
    }
}
