package org.gullway.coordination.model;

import org.gullway.protocol.JsonSize;

/** The sizes of the longest name and the longest agent epoch among all machines that have been on record. */
record LongestMachineFields(int nameBytes, int agentEpochBytes) {
    static final LongestMachineFields NONE = new LongestMachineFields(0, 0);

    /** These sizes, or those of the machine's fields if they are larger. */
    LongestMachineFields with(MachineRecord machine) {
        int name = Math.max(nameBytes, JsonSize.ofText(machine.name()));
        int agentEpoch = Math.max(agentEpochBytes, JsonSize.ofCount(machine.agentEpoch()));
        return name == nameBytes && agentEpoch == agentEpochBytes ? this : new LongestMachineFields(name, agentEpoch);
    }
}
