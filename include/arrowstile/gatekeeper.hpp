#pragma once

#include <arrowstile/actions.hpp>
#include <arrowstile/events.hpp>
#include <arrowstile/site_facts.hpp>
#include <memory>
#include <vector>

namespace arrowstile {

/// One gateway's decisions. It keeps no clock, opens no socket and shares nothing: a caller for any protocol
/// hands in what happened, in order, and carries out what comes back, in order.
class Gatekeeper {
public:
    Gatekeeper(const SiteFacts &facts, std::uint64_t seed);
    ~Gatekeeper();
    Gatekeeper(Gatekeeper &&) noexcept;
    Gatekeeper &operator=(Gatekeeper &&) noexcept;

    std::vector<Action> handle(Span now, const Event &event);

private:
    struct Mind;
    std::unique_ptr<Mind> mind_;
};

}  // namespace arrowstile
