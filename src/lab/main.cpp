/// \file
/// arrowstile-lab: simulates scenarios and prints reports.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "compare.hpp"
#include "report.hpp"
#include "scenario.hpp"

namespace {

using namespace arrowstile::lab;

/// Exit statuses.
constexpr int kExitOk = 0;
constexpr int kExitExpectationFailed = 1;  // a rule was broken, or a route or plan starved
constexpr int kExitBadUsage = 2;           // wrong arguments, or a scenario that can't be used
constexpr int kExitCouldNotRun = 3;        // for example a file that can't be read or written

/// A file can't be read or written.
struct FileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Scenario readScenarioFile(const std::string &path) {
    std::ifstream file(path);
    if (!file) throw FileError("can't read '" + path + "'");
    return readScenario(std::string(std::istreambuf_iterator<char>(file), {}), path);
}

void writeFile(const std::string &path, const std::string &text) {
    std::ofstream file(path, std::ios::trunc);
    file << text;
    file.close();
    if (!file) throw FileError("can't write '" + path + "'");
}

}  // namespace

int main(int argc, char **argv) {
    CLI::App app{"arrowstile's laboratory: simulates fleets of gateways with the real decision engine"};
    app.require_subcommand(1);
    std::string path, secondPath, csvPath;
    std::uint64_t seed = 1;
    unsigned seedCount = 10;
    bool isJson = false;

    auto *model = app.add_subcommand("model", "simulates a scenario in virtual time and checks the rules");
    model->add_option("scenario", path, "scenario file (TOML)")->required();
    model->add_option("--seed", seed, "seed of all random numbers; equal seeds give equal reports")
        ->capture_default_str();
    model->add_flag("--json", isJson, "print the report as JSON");
    model->add_option("--csv", csvPath, "also write the service ratio by time interval to this file");

    auto *compare = app.add_subcommand(
        "compare", "compares the service ratios of two scenarios, each run with the same seeds");
    compare->add_option("first", path, "scenario file of the baseline (TOML)")->required();
    compare->add_option("second", secondPath, "scenario file to compare with the baseline")->required();
    compare->add_option("--seed", seed, "first seed; the others follow it")->capture_default_str();
    compare->add_option("--pairs", seedCount, "number of seeds; each gives one pair of runs")
        ->capture_default_str()
        ->check(CLI::Range(2, 1000));
    compare->add_flag("--json", isJson, "print the comparison as JSON");

    auto *check = app.add_subcommand("check", "checks a scenario file without running it");
    check->add_option("scenario", path, "scenario file (TOML)")->required();

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? kExitOk : kExitBadUsage;
    }
    try {
        if (check->parsed()) {
            std::cout << readScenarioFile(path).name << ": can be played\n";
            return kExitOk;
        }
        if (compare->parsed()) {
            const Scenario first = readScenarioFile(path), second = readScenarioFile(secondPath);
            const Difference difference = compareScenarios(first, second, seed, seedCount);
            std::cout << (isJson ? difference.jsonText() : difference.plainText());
            return difference.runsWithViolations == 0 ? kExitOk : kExitExpectationFailed;
        }
        const Scenario scenario = readScenarioFile(path);
        const Report report = simulate(scenario, seed);
        std::cout << (isJson ? jsonReport(scenario, seed, report) : plainReport(scenario, seed, report));
        if (!csvPath.empty()) writeFile(csvPath, intervalsCsv(report));
        return report.ruleViolations.empty() && report.starvedGroups.empty() ? kExitOk
                                                                             : kExitExpectationFailed;
    } catch (const ScenarioError &error) {
        std::cerr << error.what() << "\n";
        return kExitBadUsage;
    } catch (const std::exception &error) {
        std::cerr << "arrowstile-lab: " << error.what() << "\n";
        return kExitCouldNotRun;
    }
}
