package org.gullway.controller;

import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.Settings;

/** The machine types, placement constraints, team quotas and record sizes that limit where and how many tasks run. */
record PlacementComponents(
        MachineTypeCatalog machineTypes,
        PlacementConstraints constraints,
        TeamQuotas quotas,
        RecordCapacity recordCapacity) {
    static PlacementComponents create(ControllerEnvironment environment) {
        MachineTypeCatalog machineTypes = new MachineTypeCatalog();
        Settings settings = environment.settings();
        Transaction.Limits limits =
                new Transaction.Limits(settings.stateChangesPerCommit(), settings.stateValueBytes());
        return new PlacementComponents(
                machineTypes,
                new PlacementConstraints(machineTypes),
                new TeamQuotas(settings.teams()),
                new RecordCapacity(environment.clusterState(), limits.valueBytes(), environment.wallClockTime()));
    }
}
