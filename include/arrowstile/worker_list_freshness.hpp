/// \file
/// Decides whether a gateway's list of workers is fresh enough to send calls by it. Without I/O.
#pragma once

#include <arrowstile/engine_settings.hpp>
#include <arrowstile/ids.hpp>
#include <optional>

namespace arrowstile {

/// Why the list of workers may no longer be the latest one.
enum class ListDoubt : std::uint8_t {
    processStarted,     ///< discovery has not answered this process yet
    answerIncomplete,   ///< a part of an answer of discovery has arrived
    connectionLost,     ///< the connection to discovery ended, or an answer could not be used
    connectionRefused,  ///< nothing listens at discovery's address
    localFailure,       ///< this machine could not connect, which says nothing about discovery
    watchSilent,        ///< the response to a watch request is overdue
    addressChanged      ///< a reload has moved discovery
};

/// Tells whether calls may be sent by the present list of workers.
///
/// What discovery's agent on this machine knows counts as announced to the gateway, whether or not the
/// gateway has read it. So while the agent may know more than the list says, calls have to wait for its
/// answer. If it stays silent, discovery is down, the agent learns nothing either, and the old list has to
/// serve.
class WorkerListFreshness {
public:
    /// The list is in doubt from the start on (ListDoubt::processStarted).
    WorkerListFreshness(DiscoveryMode mode, Timestamp startedAt);

    /// Discovery has answered and the list is the latest one.
    void confirm();
    /// Something happened that puts the list in doubt, or gives news about an earlier doubt.
    void addDoubt(ListDoubt cause, Timestamp now);
    /// Whether calls may be sent by the list.
    bool mayUseList(Timestamp now) const;

private:
    /// A list in doubt may be used before `usableUntil`, and again from `silentAt` or `exhaustedAt` on.
    struct Doubt {
        Timestamp usableUntil;
        Timestamp silentAt;     ///< when discovery counts as silent, unless more of an answer arrives
        Timestamp exhaustedAt;  ///< when calls have waited for too long, whatever arrives
    };

    DiscoveryMode mode_;
    std::optional<Doubt> doubt_;
};

/// A word for the log.
const char *toString(ListDoubt cause);

}  // namespace arrowstile
