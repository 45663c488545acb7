#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "api_call.hpp"

namespace arrowstile {

using ClientId = Id<struct ClientTag, std::uint64_t>;
using Place = Id<struct PlaceTag, std::uint64_t>;

/// The answers of one connection leave in the order of its commands, whenever they are ready.
class AnswerQueue {
public:
    Place open();
    /// False if that place was answered before: an answer is given once.
    bool answer(Place place, std::string text);
    /// Moves what may leave now to the end of `out`.
    void take(std::string &out);
    std::size_t waiting() const { return answers_.size(); }

private:
    std::deque<std::optional<std::string>> answers_;
    std::uint64_t first_ = 0;
};

struct InHand {
    ApiCall call;
    ClientId client;
    Place place;
    unsigned tries = 0;
};

/// The API calls that are owed a final answer. An entry goes when that is given or nobody waits any more, so
/// that no answer is given twice and nothing is sent after it.
class CallBook {
public:
    CallId add(ApiCall call, ClientId client, Place place);
    InHand *find(CallId id);
    /// Whether a call with this id of its client is open.
    bool holds(const std::string &name) const { return names_.contains(name); }
    std::optional<InHand> end(CallId id);
    /// The client has gone: its calls end without an answer.
    std::vector<CallId> drop(ClientId client);
    /// The calls that this client is still owed an answer to, in the order in which they came.
    std::vector<CallId> owed(ClientId client) const;
    std::size_t size() const { return calls_.size(); }
    /// Of the bodies that are kept for a further try.
    std::size_t bytes() const { return bytes_; }

private:
    std::map<CallId, InHand> calls_;
    std::map<ClientId, std::set<CallId>> byClient_;
    std::set<std::string> names_;
    std::uint64_t last_ = 0;
    std::size_t bytes_ = 0;
};

/// Final answers that this gatekeeper words itself.
std::string proxiedAnswer(std::string_view value);
std::string rateLimitAnswer(std::optional<Duration> retryAfter);
std::string erroredAnswer();

}  // namespace arrowstile
