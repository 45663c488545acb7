#include "scenario.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace arrowstile::lab {
namespace {

/// A table of which every key has to be asked for: one that nobody knows is an error, not a silent default.
class Reader {
public:
    Reader(const std::string &file, const toml::table &table, std::string name)
        : file_(file), table_(table), name_(std::move(name)) {}

    double number(const char *key, double otherwise, double least, double most) {
        const toml::node *node = find(key);
        if (node == nullptr) return otherwise;
        const auto value = node->value<double>();
        if (!node->is_number() || !value || !std::isfinite(*value) || *value < least || *value > most)
            fail(*node, key, "a number from " + shown(least) + " to " + shown(most));
        return *value;
    }

    unsigned whole(const char *key, unsigned otherwise, unsigned least, unsigned most) {
        const toml::node *node = find(key);
        if (node == nullptr) return otherwise;
        const auto value = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
        if (!value || *value < least || *value > most)
            fail(*node, key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return static_cast<unsigned>(*value);
    }

    Duration ms(const char *key, double otherwise, double least, double most) {
        return fromMs(number(key, otherwise, least, most));
    }

    std::string text(const char *key) {
        const toml::node *node = find(key);
        const auto value = node != nullptr ? node->value<std::string>() : std::nullopt;
        if (!value || value->empty()) fail(node != nullptr ? *node : table_, key, "a name in quotes");
        return *value;
    }

    template <class Value, std::size_t count>
    Value oneOf(const char *key, const std::array<std::pair<const char *, Value>, count> &choices) {
        const toml::node *node = find(key);
        const auto value = node != nullptr ? node->value<std::string>() : std::nullopt;
        std::string all;
        for (const auto &[name, meaning] : choices) {
            if (value == name) return meaning;
            all += (all.empty() ? "" : ", ") + std::string(name);
        }
        fail(node != nullptr ? *node : table_, key, "one of " + all);
    }

    Reader table(const char *key) {
        static const toml::table none;
        const toml::node *node = find(key);
        if (node != nullptr && !node->is_table()) fail(*node, key, "a table");
        return {file_, node != nullptr ? *node->as_table() : none, key};
    }

    std::vector<Reader> tables(const char *key, bool needed) {
        std::vector<Reader> found;
        const toml::node *node = find(key);
        if (node == nullptr && !needed) return found;
        const toml::array *list = node != nullptr ? node->as_array() : nullptr;
        if (list == nullptr || list->empty() || !list->is_homogeneous(toml::node_type::table))
            fail(node != nullptr ? *node : table_, key, "one or more tables [[" + std::string(key) + "]]");
        for (const auto &one : *list) found.emplace_back(file_, *one.as_table(), key);
        return found;
    }

    /// Nothing else may stand here.
    void done() const {
        for (const auto &[key, node] : table_) {
            if (asked_.contains(std::string(key.str()))) continue;
            std::string all;
            for (const auto &one : asked_) all += (all.empty() ? "" : ", ") + one;
            fail(node, std::string(key.str()).c_str(), "no such key; known here: " + all);
        }
    }

    [[noreturn]] void fail(const toml::node &node, const char *key, const std::string &expected) const {
        throw ScenarioError(file_ + ":" + std::to_string(node.source().begin.line) + ": " +
                            (name_.empty() ? "" : name_ + ".") + key + ": expected " + expected);
    }
    const toml::node &at(const char *key) const {
        const toml::node *node = table_.get(key);
        return node != nullptr ? *node : table_;
    }

private:
    const toml::node *find(const char *key) {
        asked_.insert(key);
        return table_.get(key);
    }
    static std::string shown(double value) {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.') text.pop_back();
        return text;
    }

    const std::string &file_;
    const toml::table &table_;
    std::string name_;
    std::set<std::string> asked_;
};

constexpr std::array<std::pair<const char *, Effect>, 3> effects{{{"idempotent", Effect::idempotent},
                                                                  {"tokened", Effect::tokened},
                                                                  {"non-idempotent", Effect::nonIdempotent}}};

constexpr unsigned mostOfList = 4096;  // gateways or nodes

constexpr std::array<std::pair<const char *, FaultKind>, 14> kinds{
    {{"counter-refuses", FaultKind::counterRefuses},
     {"counter-silent", FaultKind::counterSilent},
     {"counter-slow", FaultKind::counterSlow},
     {"counter-empty", FaultKind::counterEmpty},
     {"nodes-crash", FaultKind::nodesCrash},
     {"nodes-silent", FaultKind::nodesSilent},
     {"nodes-slow", FaultKind::nodesSlow},
     {"nodes-fail", FaultKind::nodesFail},
     {"nodes-replaced", FaultKind::nodesReplaced},
     {"gateways-killed", FaultKind::gatewaysKilled},
     {"lists-late", FaultKind::listsLate},
     {"connects-late", FaultKind::connectsLate},
     {"answers-spoilt", FaultKind::answersSpoilt},
     {"traffic-jump", FaultKind::trafficJump}}};

void readFleet(Reader fleet, Scenario &s) {
    s.facts.gatewayCount = fleet.whole("gateways", 3, 1, mostOfList);
    s.nodes = fleet.whole("nodes", 14, 1, mostOfList);
    s.length = fromMs(1000 * fleet.number("seconds", 20, 1, 3600));
    s.callsASecond = fleet.number("calls_a_second", 200, 0.1, 20000);
    s.set = fleet.whole("set", std::min(3u, s.facts.gatewayCount), 1, mostOfList);
    if (s.set > s.facts.gatewayCount) fleet.fail(fleet.at("set"), "set", "no more than fleet.gateways");
    s.uneven = fleet.number("uneven", 0, 0, 4);
    s.retries = fleet.whole("retries", 1, 0, 10);
    fleet.done();
}

void readNode(Reader node, Scenario &s) {
    s.node.cores = node.whole("cores", 3, 1, 256);
    s.node.speed = node.number("speed", 1, 0.01, 100);
    s.node.waiting = node.whole("waiting", 60, 0, 100000);
    s.node.coldShare = s.facts.coldCapacityFraction = node.number("cold_share", 1, 0.01, 1);
    s.node.warmUp = s.facts.warmUp = node.ms("warm_up_ms", 0, 0, 600000);
    s.node.fallMultiple = s.facts.coldOverloadFactor = node.number("fall_multiple", 2, 1, 100);
    s.node.fallSpan = s.facts.coldOverloadWindow = node.ms("fall_ms", 2000, 1, 60000);
    node.done();
}

void readRoutes(std::vector<Reader> routes, Scenario &s) {
    for (Reader &from : routes) {
        RouteTraffic traffic;
        Route route;
        traffic.name = from.text("name");
        traffic.share = from.number("share", 1, 0.0001, 1e6);
        traffic.workMs = from.number("work_ms", 100, 0.01, 60000);
        route.effect = from.oneOf("effect", effects);
        route.latencyTarget = from.ms("target_ms", 1000, 1, 600000);
        route.clientTimeout = from.ms("timeout_ms", 4000, 1, 600000);
        route.dedupWindow = from.ms("window_ms", 8000, 0, 600000);
        route.billedValue = from.number("value", 1, 0, 1e6);
        if (route.clientTimeout < route.latencyTarget)
            from.fail(from.at("timeout_ms"), "timeout_ms", "no less than target_ms");
        from.done();
        s.routes.push_back(traffic);
        s.facts.routes.push_back(route);
    }
}

void readPlans(std::vector<Reader> plans, Scenario &s) {
    for (Reader &from : plans) {
        PlanTraffic traffic;
        Plan plan;
        traffic.name = from.text("name");
        traffic.share = from.number("share", 1, 0.0001, 1e6);
        traffic.customers = from.whole("customers", 10, 1, 200000);
        traffic.mostUnits = from.whole("most_units", 1, 1, 1000);
        traffic.skew = from.number("skew", 0, 0, 4);
        plan.rate = from.number("rate", 0, 0, 1e6);
        plan.burst = from.number("burst", 0, 0, 1e6);
        plan.openCap = from.whole("open", 0, 0, 100000);
        plan.price = from.number("price", 1, 0, 1e6);
        if ((plan.rate > 0) != (plan.burst > 0))
            from.fail(from.at("rate"), "rate", "rate and burst, or neither");
        if (plan.burst > 0 && plan.burst < traffic.mostUnits)
            from.fail(from.at("burst"), "burst", "no less than most_units");
        from.done();
        s.facts.maxUnits = std::max(s.facts.plans.empty() ? 1 : s.facts.maxUnits, traffic.mostUnits);
        s.plans.push_back(traffic);
        s.facts.plans.push_back(plan);
    }
}

void readFaults(std::vector<Reader> faults, Scenario &s) {
    for (Reader &from : faults) {
        Fault fault;
        fault.kind = from.oneOf("kind", kinds);
        fault.at = fromMs(1000 * from.number("at_s", 0, 0, 3600));
        fault.length = fromMs(1000 * from.number("for_s", 1, 0, 3600));
        fault.part = from.number("part", 0, 0, 1);
        const bool late = fault.kind == FaultKind::listsLate || fault.kind == FaultKind::connectsLate;
        const bool share = fault.kind == FaultKind::answersSpoilt || fault.kind == FaultKind::nodesFail;
        fault.size = from.number("size", 1, 0, late ? 60000 : share ? 1 : 1000);
        if (fault.at > s.length) from.fail(from.at("at_s"), "at_s", "a time within fleet.seconds");
        const bool ofMany = fault.kind >= FaultKind::nodesCrash && fault.kind <= FaultKind::connectsLate;
        const bool gateways = fault.kind == FaultKind::gatewaysKilled || fault.kind == FaultKind::listsLate;
        const unsigned count = gateways ? s.facts.gatewayCount : s.nodes;
        if (ofMany && fault.part * count < 0.5)
            from.fail(from.at("part"), "part", "a part of at least one of the " + std::to_string(count));
        if (!ofMany && fault.part != 0)
            from.fail(from.at("part"), "part", "no part: this kind is of the whole");
        from.done();
        s.faults.push_back(fault);
    }
}

}  // namespace

Scenario readScenario(std::string_view text, const std::string &file) {
    const toml::table all = [&] {
        try {
            return toml::parse(text);
        } catch (const toml::parse_error &error) {
            throw ScenarioError(file + ":" + std::to_string(error.source().begin.line) + ": " +
                                std::string(error.description()));
        }
    }();
    Scenario s;
    Reader top(file, all, "");
    s.name = top.text("name");
    readFleet(top.table("fleet"), s);
    readNode(top.table("node"), s);
    Reader network = top.table("network");
    s.oneWay = network.ms("one_way_ms", 1, 0.01, 1000);
    s.listLate = network.ms("list_late_ms", 500, 0, 60000);
    network.done();
    Reader counter = top.table("counter");
    s.counter.perSecond = counter.number("calls_a_second", 1000, 1, 1e6);
    s.counter.waiting = counter.whole("waiting", 100, 1, 100000);
    s.counter.parts = counter.whole("parts", 1, 1, 64);
    s.facts.counterTimeout = counter.ms("timeout_ms", 50, 1, 10000);
    counter.done();
    readRoutes(top.tables("route", true), s);
    readPlans(top.tables("plan", true), s);
    readFaults(top.tables("fault", false), s);
    Reader expect = top.table("expect");
    s.leastShare = expect.number("least_share", 0, 0, 1);
    expect.done();
    top.done();
    s.facts.mayUseCounter = s.facts.mayCancel = s.facts.maySendRetryAfter = true;
    s.facts.maxTries = 5;
    s.facts.maxRetryAfter = std::chrono::milliseconds(1000);
    s.facts.connectTimeout = std::chrono::milliseconds(250);
    s.facts.answerSlack = std::chrono::milliseconds(50);
    s.facts.drainGrace = std::chrono::milliseconds(250);
    s.facts.loadColumns = {LoadMetric::queueLength};
    s.facts.loadReportMode = LoadReportMode::inReplies;
    return s;
}

}  // namespace arrowstile::lab
