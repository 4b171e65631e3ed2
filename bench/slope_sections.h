#pragma once

namespace limpetrouter::bench {

/// Processor time of the decision core and bytes between instances, by fan-out.
void MeasureCore();
/// Heap by backend servers, members, queries in flight and configuration bytes.
void MeasureMemory();
/// Messages, bytes and processor time of the peer role, and the spread of a configuration, by members.
void MeasureControl();
/// Restart of a whole fleet, and a cut between regions with its healing.
void MeasureRecovery();
/// Placement of holders: time, spread, moves and gatherers per query.
void MeasurePlacement();
/// Processor time of the client that calls backend servers, against a loopback server.
void MeasureHttp();

}  // namespace limpetrouter::bench
