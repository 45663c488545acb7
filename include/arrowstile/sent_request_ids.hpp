/// \file
/// Decides whether a call with a request id that was seen before may be taken. Without I/O.
#pragma once

#include <arrowstile/engine_settings.hpp>
#include <arrowstile/ids.hpp>
#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace arrowstile {

/// The request ids of calls that were sent to a worker and must not run again.
///
/// Every call has a new id. If one comes again nevertheless, for example because its client has left and
/// sends it over another connection, the call may have run, and may still be running, though nobody awaits it
/// here.
class SentRequestIds {
public:
    /// At most `capacity` ids are kept; beyond that the oldest ones are forgotten.
    explicit SentRequestIds(std::size_t capacity) : capacity_(capacity) {}

    /// A call of a client is written to a worker. Calls that may run any number of times are not kept.
    void add(std::string_view requestId, Effect effect, ClientId client, Timestamp now);
    /// The client for which a call with this id was sent within the last minute, if any.
    std::optional<ClientId> clientOf(std::string_view requestId, Timestamp now);
    std::size_t size() const { return lastSends_.size(); }

private:
    struct Entry {
        std::size_t idHash;
        Timestamp sentAt;
    };

    struct Send {
        Timestamp sentAt;
        ClientId client;
    };

    void forgetOld(Timestamp now);

    std::size_t capacity_;
    std::unordered_map<std::size_t, Send> lastSends_;  ///< by the hash of the id
    std::deque<Entry> entries_;                        ///< in the order of their times
};

}  // namespace arrowstile
