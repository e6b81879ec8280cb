package org.gullway.controller;

import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;

/** The machine types, placement constraints and team quotas that limit where and how many tasks may be placed. */
record PlacementComponents(MachineTypeCatalog machineTypes, PlacementConstraints constraints, TeamQuotas quotas) {
    static PlacementComponents create(ControllerEnvironment environment) {
        MachineTypeCatalog machineTypes = new MachineTypeCatalog();
        return new PlacementComponents(
                machineTypes,
                new PlacementConstraints(machineTypes),
                new TeamQuotas(environment.settings().teams()));
    }
}
