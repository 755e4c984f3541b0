// Measures the configuration table: bytes per item, and the cost of an edit, a snapshot and a digest as the table
// grows:
// bench-config [--out FILE] [--rows N]
//
// With --peak, reports instead by how much the peak resident memory of the process exceeds that of its table alone.
// Each variant runs in its own process:
// bench-config --peak publish-whole|publish-parts|load-whole|load-parts [--rows N]
#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include <boost/json.hpp>

#include "mulberryplank/policy/configtable.h"
#include "mulberryplank/policy/snapshotparts.h"
#include "mulberryplank/state/configstate.h"

using namespace mulberryplank;

namespace
{

constexpr std::size_t ChangesPerEdit = 1'000;
constexpr std::size_t TimedEdits = 2'000;

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

double secondsSince(Instant begin)
{
    return toSeconds(std::chrono::steady_clock::now() - begin);
}

std::string numbered(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(1'000'000 + number);
}

// Applies items in edits of ChangesPerEdit changes and measures the heap that they take.
class TableFiller
{
public:
    explicit TableFiller(ConfigTable &table)
        : m_table(table)
    {
    }

    // Adds `count` items created by `make` and returns the heap bytes per item.
    template<typename Make>
    double fill(std::size_t count, Make make)
    {
        const double before = heapBytes();
        for (std::size_t done = 0; done < count;) {
            Edit edit { EditId(numbered("fill", m_edits++)), {} };
            for (; done < count && edit.changes.size() < ChangesPerEdit; ++done) {
                edit.changes.push_back({ make(done), false });
            }
            apply(encodeEdit(edit));
        }
        return (heapBytes() - before) / static_cast<double>(count);
    }

    void apply(const std::string &record)
    {
        const auto outcome = m_table.apply(m_table.nextOffset(), record);
        if (!outcome || outcome->status != EditStatus::Accepted) {
            std::cerr << "refused: " << (outcome ? outcome->detail : outcome.error().detail) << '\n';
            std::exit(1);
        }
    }

private:
    ConfigTable &m_table;
    std::size_t m_edits = 0;
};

Account accountOf(std::size_t number)
{
    Account account;
    account.name = AccountName(numbered("acct", number));
    account.secretDigest.fill(1);
    return account;
}

ServiceName serviceNameOf(std::size_t number)
{
    return ServiceName(numbered("svc", number));
}

// Fills a table with `rows` rows, the same number of accounts, and a proportional number of targets and services.
void fillAll(ConfigTable &table, std::size_t rows)
{
    TableFiller filler(table);
    const std::size_t services = std::max<std::size_t>(1, rows * 3'500 / 220'000);
    filler.fill(services, [](std::size_t number) {
        Service service;
        service.name = serviceNameOf(number);
        for (int route = 0; route < 5; ++route) {
            service.routes.push_back({ "read", "GET", "/", true, Millis(1'000), Millis(500) });
        }
        return service;
    });
    filler.fill(rows, accountOf);
    filler.fill(rows * 58'000 / 220'000, [&](std::size_t number) {
        return Target { TargetName(numbered("target", number)),
                        serviceNameOf(number % services),
                        "10.100.200.30",
                        8'080,
                        FailureDomain("katutura-hall"),
                        0 };
    });
    filler.fill(rows, [&](std::size_t number) {
        return Row { accountOf(number).name, serviceNameOf(number % services), 3, { 10.5, 4, 8 }, 0 };
    });
}

// Returns the value of a line of /proc/self/status in bytes, or 0 if there is no such line.
double statusBytes(const std::string &name)
{
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;) {
        double kibibytes = 0;
        if (word == name && status >> kibibytes) {
            return kibibytes * 1'024;
        }
    }
    return 0;
}

void resetPeak()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";
}

// Appends a snapshot part to a file that stands in for the log, so that the parts take no memory in this process.
void spool(const std::string &path, std::string part)
{
    std::ofstream(path, std::ios::app) << part << '\n';
}

boost::json::object measurePeak(const std::string &variant, std::size_t rows, const std::string &path)
{
    std::ofstream(path).flush();
    double before = 0;
    {
        ConfigTable table;
        fillAll(table, rows);
        resetPeak();
        before = statusBytes("VmRSS:");
        if (variant == "publish-whole") {
            for (std::string &part : splitSnapshot(table.nextOffset(), table.snapshot())) {
                spool(path, std::move(part));
            }
        } else {
            SnapshotParts parts(table);
            while (parts.taken() < parts.count()) {
                spool(path, parts.takeNext());
            }
        }
    }
    if (variant.starts_with("load")) {
        resetPeak();
        before = statusBytes("VmRSS:");
        SnapshotAssembler assembler;
        std::ifstream records(path);
        for (std::string record; std::getline(records, record);) {
            assembler.add(record);
        }
        const auto table = variant == "load-whole" ? ConfigTable::fromSnapshot(assembler.newest()->bytes)
                                                   : ConfigTable::fromSnapshot(std::move(*assembler.takeNewest()));
        if (!table) {
            std::exit(1);
        }
    }
    return { { "way", variant },
             { "rows", rows },
             { "resident_before", before },
             { "resident_peak", statusBytes("VmHWM:") },
             { "over", statusBytes("VmHWM:") - before } };
}

// Returns the costs of a table with `rows` rows, the same number of accounts, and targets and services in the
// proportions of the design size.
boost::json::object measure(std::size_t rows)
{
    const std::size_t services = std::max<std::size_t>(1, rows * 3'500 / 220'000);
    const std::size_t targets = std::max<std::size_t>(1, rows * 58'000 / 220'000);
    ConfigTable table;
    TableFiller filler(table);
    boost::json::object result {
        { "accounts", rows }, { "rows", rows }, { "services", services }, { "targets", targets }
    };
    const double empty = heapBytes();
    result["bytes_per_service"] = filler.fill(services, [](std::size_t number) {
        Service service;
        service.name = serviceNameOf(number);
        for (int route = 0; route < 5; ++route) {
            service.routes.push_back({ "read", "GET", "/", true, Millis(1'000), Millis(500) });
        }
        return service;
    });
    result["bytes_per_account"] = filler.fill(rows, accountOf);
    result["bytes_per_target"] = filler.fill(targets, [&](std::size_t number) {
        return Target { TargetName(numbered("target", number)),
                        serviceNameOf(number % services),
                        "10.100.200.30",
                        8'080,
                        FailureDomain("katutura-hall"),
                        0 };
    });
    result["bytes_per_row"] = filler.fill(rows, [&](std::size_t number) {
        return Row { accountOf(number).name, serviceNameOf(number % services), 3, { 10.5, 4, 8 }, 0 };
    });
    result["table_bytes"] = heapBytes() - empty;

    std::vector<std::string> edits;
    for (std::size_t count = 0; count < TimedEdits; ++count) {
        const std::size_t number = count * 7'919 % rows;
        auto row = table.row(accountOf(number).name, serviceNameOf(number % services));
        const Version later = table.nextOffset() + count + 1;
        const std::size_t previousEditOfRow = count >= rows ? count - rows : count;
        row->version = previousEditOfRow == count ? row->version : later - rows;
        edits.push_back(encodeEdit({ EditId(numbered("timed", count)), { { *row, false } } }));
    }
    auto begin = std::chrono::steady_clock::now();
    for (const std::string &edit : edits) {
        filler.apply(edit);
    }
    result["apply_us"] = secondsSince(begin) * 1e6 / static_cast<double>(edits.size());
    begin = std::chrono::steady_clock::now();
    std::size_t snapshotBytes = 0;
    table.writeSnapshot([&](std::string_view piece) {
        snapshotBytes += piece.size();
    });
    result["snapshot_ms"] = secondsSince(begin) * 1e3;
    result["snapshot_bytes"] = snapshotBytes;
    const std::string snapshot = table.snapshot();
    begin = std::chrono::steady_clock::now();
    ConfigState state;
    if (!state.load(ConfigTable::fromSnapshot(snapshot).value())) {
        std::exit(1);
    }
    result["load_ms"] = secondsSince(begin) * 1e3;
    const double beforeView = heapBytes();
    const auto view = state.service(serviceNameOf(0));
    result["view_bytes_per_row"] = (heapBytes() - beforeView) / static_cast<double>(view->rows.size());
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    std::map<std::string, std::string> options;
    for (int index = 1; index + 1 < argc; index += 2) {
        options[argv[index]] = argv[index + 1];
    }
    const std::size_t maxRows = options.contains("--rows") ? std::stoul(options["--rows"]) : 220'000;
    if (options.contains("--peak")) {
        const std::string path = options.contains("--spool") ? options["--spool"] : "build/measure/snapshot-parts.tmp";
        std::cout << boost::json::serialize(measurePeak(options["--peak"], maxRows, path)) << std::endl;
        return 0;
    }
    boost::json::array sizes;
    for (const std::size_t divisor : { 100, 10, 1 }) {
        sizes.push_back(measure(std::max<std::size_t>(TimedEdits, maxRows / divisor)));
        std::cout << boost::json::serialize(sizes.back()) << std::endl;
    }
    if (options.contains("--out")) {
        std::ofstream(options["--out"]) << boost::json::serialize(boost::json::object { { "sizes", sizes } }) << '\n';
    }
    return 0;
}
