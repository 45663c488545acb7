#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "compare.hpp"
#include "report.hpp"
#include "scenario.hpp"

namespace {

using namespace arrowstile::lab;

constexpr int kKept = 0, kBroken = 1, kBadUse = 2, kCouldNotRun = 3;

struct CouldNotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Scenario readFile(const std::string &path) {
    std::ifstream file(path);
    if (!file) throw CouldNotRun("can't read '" + path + "'");
    return readScenario(std::string(std::istreambuf_iterator<char>(file), {}), path);
}

void write(const std::string &path, const std::string &text) {
    std::ofstream file(path, std::ios::trunc);
    file << text;
    file.close();
    if (!file) throw CouldNotRun("can't write '" + path + "'");
}

}  // namespace

int main(int argc, char **argv) {
    CLI::App app{"arrowstile's laboratory: plays scenarios against the gatekeeper's decisions"};
    app.require_subcommand(1);
    std::string path, other, csv;
    std::uint64_t seed = 1;
    unsigned pairs = 10;
    bool json = false;

    auto *model = app.add_subcommand("model", "plays a scenario in virtual time and checks the rules");
    model->add_option("scenario", path, "a scenario file (TOML)")->required();
    model->add_option("--seed", seed, "of all chance; the same seed gives the same report")
        ->capture_default_str();
    model->add_flag("--json", json, "a report for programs");
    model->add_option("--csv", csv, "also writes the service ratio by spans of the run to this file");

    auto *compare = app.add_subcommand("compare", "plays two scenarios over paired seeds");
    compare->add_option("first", path, "a scenario file")->required();
    compare->add_option("second", other, "the one it is compared with")->required();
    compare->add_option("--seed", seed, "the first of the seeds")->capture_default_str();
    compare->add_option("--pairs", pairs, "how many seeds")
        ->capture_default_str()
        ->check(CLI::Range(2, 1000));
    compare->add_flag("--json", json, "a report for programs");

    auto *check = app.add_subcommand("check", "checks a scenario file and plays nothing");
    check->add_option("scenario", path, "a scenario file")->required();

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? kKept : kBadUse;
    }
    try {
        if (check->parsed()) {
            std::cout << readFile(path).name << ": can be played\n";
            return kKept;
        }
        if (compare->parsed()) {
            const Scenario first = readFile(path), second = readFile(other);
            const Difference difference = comparePairs(first, second, seed, pairs);
            std::cout << (json ? difference.json() : difference.plain());
            return difference.broken == 0 ? kKept : kBroken;
        }
        const Scenario scenario = readFile(path);
        const Report report = play(scenario, seed);
        std::cout << (json ? jsonReport(scenario, seed, report) : plainReport(scenario, seed, report));
        if (!csv.empty()) write(csv, spansCsv(report));
        return report.broken.empty() && report.starved.empty() ? kKept : kBroken;
    } catch (const ScenarioError &error) {
        std::cerr << error.what() << "\n";
        return kBadUse;
    } catch (const std::exception &error) {
        std::cerr << "arrowstile-lab: " << error.what() << "\n";
        return kCouldNotRun;
    }
}
