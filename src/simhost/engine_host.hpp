/// \file
/// Runs many decision engines in one process for a simulator, which sends their events and receives their
/// actions in frames (see wire.hpp).
#pragma once

#include <arrowstile/decision_engine.hpp>
#include <iosfwd>
#include <map>

#include "wire.hpp"

namespace arrowstile::simhost {

/// The decision engines of all running instances.
class EngineHost {
public:
    /// Processes the records of a frame in order and returns the actions that result, in the same order.
    /// Throws FrameError on an event for an instance that isn't running, and ConfigError on invalid settings;
    /// the records before the faulty one stay processed.
    ReplyFrame process(const RequestFrame &request);

private:
    std::map<InstanceId, DecisionEngine> engines_;
};

/// Reads request frames from `in` and writes one reply frame to `out` for each, until the input ends or is
/// invalid. Returns the exit code of the program: 0 if the input ended between two frames, otherwise 1 after
/// one line on `errors`. An invalid frame gets no reply.
int serve(std::istream &in, std::ostream &out, std::ostream &errors);

}  // namespace arrowstile::simhost
