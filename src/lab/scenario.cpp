#include "scenario.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace arrowstile::lab {
namespace {

/// Reads the values of a TOML table and records the keys that were read. rejectUnknownKeys() then rejects
/// every other key, so that a misspelt key is an error and doesn't silently leave a default in force. All
/// functions throw ScenarioError for a value that isn't as expected.
class TableReader {
public:
    /// `name` is the table's name in error messages; empty for the whole document.
    TableReader(const std::string &file, const toml::table &table, std::string name)
        : file_(file), table_(table), name_(std::move(name)) {}

    double number(const char *key, double defaultValue, double min, double max) {
        const toml::node *node = find(key);
        if (node == nullptr) return defaultValue;
        const auto value = node->value<double>();
        if (!node->is_number() || !value || !std::isfinite(*value) || *value < min || *value > max)
            fail(*node, key,
                 "a number from " + withoutTrailingZeros(min) + " to " + withoutTrailingZeros(max));
        return *value;
    }

    unsigned wholeNumber(const char *key, unsigned defaultValue, unsigned min, unsigned max) {
        const toml::node *node = find(key);
        if (node == nullptr) return defaultValue;
        const auto value = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
        if (!value || *value < min || *value > max)
            fail(*node, key, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return static_cast<unsigned>(*value);
    }

    /// A number of milliseconds.
    Duration milliseconds(const char *key, double defaultValue, double min, double max) {
        return fromMs(number(key, defaultValue, min, max));
    }

    /// A required text that isn't empty.
    std::string text(const char *key) {
        const toml::node *node = find(key);
        const auto value = node != nullptr ? node->value<std::string>() : std::nullopt;
        if (!value || value->empty()) fail(node != nullptr ? *node : table_, key, "a name in quotes");
        return *value;
    }

    /// A required text out of `choices`. Returns the value that belongs to it.
    template <class Value, std::size_t count>
    Value oneOf(const char *key, const std::array<std::pair<const char *, Value>, count> &choices) {
        const toml::node *node = find(key);
        const auto text = node != nullptr ? node->value<std::string>() : std::nullopt;
        std::string allNames;
        for (const auto &[name, value] : choices) {
            if (text == name) return value;
            allNames += (allNames.empty() ? "" : ", ") + std::string(name);
        }
        fail(node != nullptr ? *node : table_, key, "one of " + allNames);
    }

    /// A table within this one; an empty one if the key is missing.
    TableReader table(const char *key) {
        static const toml::table emptyTable;
        const toml::node *node = find(key);
        if (node != nullptr && !node->is_table()) fail(*node, key, "a table");
        return {file_, node != nullptr ? *node->as_table() : emptyTable, key};
    }

    /// An array of tables. If it isn't required, it may be missing.
    std::vector<TableReader> tables(const char *key, bool isRequired) {
        std::vector<TableReader> readers;
        const toml::node *node = find(key);
        if (node == nullptr && !isRequired) return readers;
        const toml::array *array = node != nullptr ? node->as_array() : nullptr;
        if (array == nullptr || array->empty() || !array->is_homogeneous(toml::node_type::table))
            fail(node != nullptr ? *node : table_, key, "one or more tables [[" + std::string(key) + "]]");
        for (const auto &element : *array) readers.emplace_back(file_, *element.as_table(), key);
        return readers;
    }

    /// Throws if the table has a key that was not read. Call it last.
    void rejectUnknownKeys() const {
        for (const auto &[key, node] : table_) {
            if (knownKeys_.contains(std::string(key.str()))) continue;
            std::string allKeys;
            for (const auto &known : knownKeys_) allKeys += (allKeys.empty() ? "" : ", ") + known;
            fail(node, std::string(key.str()).c_str(), "no such key; known here: " + allKeys);
        }
    }

    /// Throws the error that `key` was expected to be otherwise. `node` gives the line number.
    [[noreturn]] void fail(const toml::node &node, const char *key, const std::string &expected) const {
        throw ScenarioError(file_ + ":" + std::to_string(node.source().begin.line) + ": " +
                            (name_.empty() ? "" : name_ + ".") + key + ": expected " + expected);
    }
    /// The node of a key, for fail(); the table itself if the key is missing.
    const toml::node &nodeOf(const char *key) const {
        const toml::node *node = table_.get(key);
        return node != nullptr ? *node : table_;
    }

private:
    const toml::node *find(const char *key) {
        knownKeys_.insert(key);
        return table_.get(key);
    }
    static std::string withoutTrailingZeros(double value) {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.') text.pop_back();
        return text;
    }

    const std::string &file_;
    const toml::table &table_;
    std::string name_;
    std::set<std::string> knownKeys_;
};

constexpr std::array<std::pair<const char *, Effect>, 3> kEffects{
    {{"idempotent", Effect::idempotent},
     {"tokened", Effect::tokened},
     {"non-idempotent", Effect::nonIdempotent}}};

/// Maximum number of gateways, and of nodes.
constexpr unsigned kMaxFleetCount = 4096;

constexpr std::array<std::pair<const char *, FaultKind>, 14> kFaultKinds{
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

void readFleet(TableReader reader, Scenario &scenario) {
    scenario.settings.gatewayCount = reader.wholeNumber("gateways", 3, 1, kMaxFleetCount);
    scenario.nodeCount = reader.wholeNumber("nodes", 14, 1, kMaxFleetCount);
    scenario.duration = fromMs(1000 * reader.number("seconds", 20, 1, 3600));
    scenario.callsPerSecond = reader.number("calls_a_second", 200, 0.1, 20000);
    scenario.gatewaySubsetSize =
        reader.wholeNumber("set", std::min(3u, scenario.settings.gatewayCount), 1, kMaxFleetCount);
    if (scenario.gatewaySubsetSize > scenario.settings.gatewayCount)
        reader.fail(reader.nodeOf("set"), "set", "no more than fleet.gateways");
    scenario.gatewaySubsetSkew = reader.number("uneven", 0, 0, 4);
    scenario.maxRetries = reader.wholeNumber("retries", 1, 0, 10);
    reader.rejectUnknownKeys();
}

void readNode(TableReader reader, Scenario &scenario) {
    scenario.node.cores = reader.wholeNumber("cores", 3, 1, 256);
    scenario.node.speed = reader.number("speed", 1, 0.01, 100);
    scenario.node.maxQueueLength = reader.wholeNumber("waiting", 60, 0, 100000);
    scenario.node.coldCapacityFraction = scenario.settings.coldCapacityFraction =
        reader.number("cold_share", 1, 0.01, 1);
    scenario.node.warmUp = scenario.settings.warmUp = reader.milliseconds("warm_up_ms", 0, 0, 600000);
    scenario.node.coldOverloadFactor = scenario.settings.coldOverloadFactor =
        reader.number("fall_multiple", 2, 1, 100);
    scenario.node.coldOverloadWindow = scenario.settings.coldOverloadWindow =
        reader.milliseconds("fall_ms", 2000, 1, 60000);
    reader.rejectUnknownKeys();
}

void readRoutes(std::vector<TableReader> readers, Scenario &scenario) {
    for (TableReader &reader : readers) {
        RouteTraffic traffic;
        Route route;
        traffic.name = reader.text("name");
        traffic.weight = reader.number("share", 1, 0.0001, 1e6);
        traffic.meanWorkMs = reader.number("work_ms", 100, 0.01, 60000);
        route.effect = reader.oneOf("effect", kEffects);
        route.latencyTarget = reader.milliseconds("target_ms", 1000, 1, 600000);
        route.clientTimeout = reader.milliseconds("timeout_ms", 4000, 1, 600000);
        route.dedupWindow = reader.milliseconds("window_ms", 8000, 0, 600000);
        route.billedValue = reader.number("value", 1, 0, 1e6);
        if (route.clientTimeout < route.latencyTarget)
            reader.fail(reader.nodeOf("timeout_ms"), "timeout_ms", "no less than target_ms");
        reader.rejectUnknownKeys();
        scenario.routes.push_back(traffic);
        scenario.settings.routes.push_back(route);
    }
}

void readPlans(std::vector<TableReader> readers, Scenario &scenario) {
    for (TableReader &reader : readers) {
        PlanTraffic traffic;
        Plan plan;
        traffic.name = reader.text("name");
        traffic.weight = reader.number("share", 1, 0.0001, 1e6);
        traffic.customerCount = reader.wholeNumber("customers", 10, 1, 200000);
        traffic.maxUnits = reader.wholeNumber("most_units", 1, 1, 1000);
        traffic.skew = reader.number("skew", 0, 0, 4);
        plan.rate = reader.number("rate", 0, 0, 1e6);
        plan.burst = reader.number("burst", 0, 0, 1e6);
        plan.openCap = reader.wholeNumber("open", 0, 0, 100000);
        plan.price = reader.number("price", 1, 0, 1e6);
        if ((plan.rate > 0) != (plan.burst > 0))
            reader.fail(reader.nodeOf("rate"), "rate", "rate and burst, or neither");
        if (plan.burst > 0 && plan.burst < traffic.maxUnits)
            reader.fail(reader.nodeOf("burst"), "burst", "no less than most_units");
        reader.rejectUnknownKeys();
        scenario.settings.maxUnits =
            std::max(scenario.settings.plans.empty() ? 1 : scenario.settings.maxUnits, traffic.maxUnits);
        scenario.plans.push_back(traffic);
        scenario.settings.plans.push_back(plan);
    }
}

void readFaults(std::vector<TableReader> readers, Scenario &scenario) {
    for (TableReader &reader : readers) {
        Fault fault;
        fault.kind = reader.oneOf("kind", kFaultKinds);
        fault.startsAt = fromMs(1000 * reader.number("at_s", 0, 0, 3600));
        fault.duration = fromMs(1000 * reader.number("for_s", 1, 0, 3600));
        fault.fraction = reader.number("part", 0, 0, 1);
        const bool isDelay = fault.kind == FaultKind::listsLate || fault.kind == FaultKind::connectsLate;
        const bool isFraction = fault.kind == FaultKind::answersSpoilt || fault.kind == FaultKind::nodesFail;
        fault.magnitude = reader.number("size", 1, 0, isDelay ? 60000 : isFraction ? 1 : 1000);
        if (fault.startsAt > scenario.duration)
            reader.fail(reader.nodeOf("at_s"), "at_s", "a time within fleet.seconds");
        const bool concernsFraction =
            fault.kind >= FaultKind::nodesCrash && fault.kind <= FaultKind::connectsLate;
        const bool concernsGateways =
            fault.kind == FaultKind::gatewaysKilled || fault.kind == FaultKind::listsLate;
        const unsigned count = concernsGateways ? scenario.settings.gatewayCount : scenario.nodeCount;
        // Half of one is rounded up to one; less would concern none.
        if (concernsFraction && fault.fraction * count < 0.5)
            reader.fail(reader.nodeOf("part"), "part",
                        "a part of at least one of the " + std::to_string(count));
        if (!concernsFraction && fault.fraction != 0)
            reader.fail(reader.nodeOf("part"), "part", "no part: this kind is of the whole");
        reader.rejectUnknownKeys();
        scenario.faults.push_back(fault);
    }
}

}  // namespace

Scenario readScenario(std::string_view text, const std::string &file) {
    const toml::table document = [&] {
        try {
            return toml::parse(text);
        } catch (const toml::parse_error &error) {
            throw ScenarioError(file + ":" + std::to_string(error.source().begin.line) + ": " +
                                std::string(error.description()));
        }
    }();
    Scenario scenario;
    TableReader top(file, document, "");
    scenario.name = top.text("name");
    readFleet(top.table("fleet"), scenario);
    readNode(top.table("node"), scenario);
    TableReader network = top.table("network");
    scenario.oneWayLatency = network.milliseconds("one_way_ms", 1, 0.01, 1000);
    scenario.listDelay = network.milliseconds("list_late_ms", 500, 0, 60000);
    network.rejectUnknownKeys();
    TableReader counter = top.table("counter");
    scenario.counter.requestsPerSecond = counter.number("calls_a_second", 1000, 1, 1e6);
    scenario.counter.maxQueueLength = counter.wholeNumber("waiting", 100, 1, 100000);
    scenario.counter.shardCount = counter.wholeNumber("parts", 1, 1, 64);
    scenario.settings.counterTimeout = counter.milliseconds("timeout_ms", 50, 1, 10000);
    counter.rejectUnknownKeys();
    readRoutes(top.tables("route", true), scenario);
    readPlans(top.tables("plan", true), scenario);
    readFaults(top.tables("fault", false), scenario);
    TableReader expect = top.table("expect");
    scenario.minServedFraction = expect.number("least_share", 0, 0, 1);
    expect.rejectUnknownKeys();
    top.rejectUnknownKeys();
    // The settings that scenarios can't change.
    scenario.settings.mayUseCounter = scenario.settings.mayCancel = scenario.settings.maySendRetryAfter =
        true;
    scenario.settings.maxTries = 5;
    scenario.settings.maxRetryAfter = std::chrono::milliseconds(1000);
    scenario.settings.connectTimeout = std::chrono::milliseconds(250);
    scenario.settings.answerSlack = std::chrono::milliseconds(50);
    scenario.settings.drainGrace = std::chrono::milliseconds(250);
    scenario.settings.loadColumns = {LoadMetric::queueLength};
    scenario.settings.loadReportMode = LoadReportMode::inReplies;
    return scenario;
}

}  // namespace arrowstile::lab
