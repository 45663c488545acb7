#include "rules.hpp"

#include <optional>
#include <utility>

namespace arrowstile::lab {
namespace {

struct Held {
    Timestamp due{};
    unsigned gateway = 0, answers = 0, runs = 0;
    int out = 0;
    bool once = false, excused = false;
};

std::string where(const char *rule, std::uint64_t call, Timestamp at, const char *what) {
    return std::string(rule) + ": call " + std::to_string(call) + " at " + std::to_string(at.count() / 1000) +
           " ms, " + what;
}

}  // namespace

std::vector<std::string> brokenRules(const std::vector<Line> &record, const RuleLimits &limits,
                                     Timestamp end) {
    std::vector<std::string> broken;
    std::map<std::uint64_t, Held> calls;
    // gateway and node: since when it was told
    std::map<std::pair<unsigned, std::uint64_t>, Timestamp> drains;
    for (const Line &line : record) {
        Held &call = calls[line.call];
        switch (line.step) {
            case Step::taken:
                call = {line.at + line.patience, line.gateway, 0, 0, 0, line.once, false};
                break;
            case Step::sent: {
                if (++call.out > 1)
                    broken.push_back(where("one try", line.call, line.at, "a second try is out"));
                const auto told = drains.find({line.gateway, line.node});
                if (told != drains.end() && line.at > told->second + limits.drainGrace)
                    broken.push_back(where("drains", line.call, line.at, "sent to a node told to drain"));
                break;
            }
            case Step::tryEnded: --call.out; break;
            case Step::ran:
                if (++call.runs > 1 && call.once)
                    broken.push_back(where("effects", line.call, line.at, "ran a second time"));
                break;
            case Step::answered:
                if (++call.answers > 1)
                    broken.push_back(where("answers", line.call, line.at, "a second answer"));
                if (line.at > call.due + limits.answerSlack && !call.excused)
                    broken.push_back(where("answers", line.call, line.at, "answered too late"));
                break;
            case Step::told: drains.try_emplace({line.gateway, line.node}, line.at); break;
            case Step::gatewayDied:
                for (auto &[id, held] : calls) held.excused = held.excused || held.gateway == line.gateway;
                std::erase_if(drains, [&](const auto &one) { return one.first.first == line.gateway; });
                break;
        }
    }
    calls.erase(0);  // lines that name no call
    for (const auto &[id, call] : calls)
        if (call.answers == 0 && !call.excused && call.due + limits.answerSlack < end)
            broken.push_back(where("answers", id, call.due, "never answered"));
    return broken;
}

}  // namespace arrowstile::lab
