/// \file
/// The decision engine: load balancing, retries and rate limiting of one gateway, without any I/O.
#pragma once

#include <arrowstile/actions.hpp>
#include <arrowstile/engine_settings.hpp>
#include <arrowstile/events.hpp>
#include <memory>
#include <vector>

namespace arrowstile {

/// Makes all decisions of one gateway. It reads no clock, opens no socket and shares no state, so the caller
/// may use any protocol: it passes in the events in the order in which they occurred and carries out the
/// returned actions in the order given. Not safe for use by several threads at once.
class DecisionEngine {
public:
    /// `seed` initializes the random number generator: equal settings, seeds and events give equal actions.
    DecisionEngine(const EngineSettings &settings, std::uint64_t seed);
    ~DecisionEngine();
    DecisionEngine(DecisionEngine &&) noexcept;
    DecisionEngine &operator=(DecisionEngine &&) noexcept;

    /// Processes one event and returns the actions to carry out, possibly none. `now` is the current time on
    /// the caller's clock. The first call also starts the engine's periodic timer (SetTimer).
    std::vector<Action> handle(Timestamp now, const Event &event);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace arrowstile
