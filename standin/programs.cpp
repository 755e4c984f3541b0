#include "programs.h"

#include <cmath>
#include <iostream>

#include <boost/json/serialize.hpp>

#include "commandline.h"
#include "loadgenerator.h"
#include "logservice.h"
#include "servicethreads.h"
#include "target.h"
#include "vmlist.h"

namespace standin
{

namespace
{

constexpr std::size_t MaxThreads = 64;
constexpr std::size_t MaxTargets = 1'000;
constexpr std::size_t MaxKeepSeconds = 365UL * 24 * 3600;
constexpr double MaxMillis = 24.0 * 3600 * 1000;

Instant now()
{
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds roundToMillis(double millis)
{
    return std::chrono::milliseconds(std::llround(millis));
}

// Scripts that use port 0 read the bound port from this line.
void announce(const std::string &what, const std::string &ip, std::uint16_t port)
{
    std::cout << what << " listening on " << ip << ":" << port << std::endl;
}

void addListenFlag(CommandLine &flags, std::vector<Address> &addresses, const std::string &help)
{
    flags.add("listen", "IP:PORT", help, [&addresses](const std::string &text) {
        addresses.push_back(parseAddress(text));
    });
}

Address lastAddress(const std::vector<Address> &addresses)
{
    return addresses.empty() ? Address {} : addresses.back();
}

ServiceTime parseServiceTime(const std::string &text)
{
    if (text == "fixed") {
        return ServiceTime::Fixed;
    }
    if (text == "lognormal") {
        return ServiceTime::LogNormal;
    }
    throw UsageError("must be fixed or lognormal");
}

std::vector<Address> consecutiveAddresses(const std::vector<Address> &baseAddresses, std::size_t count)
{
    std::vector<Address> addresses;
    for (const Address &base : baseAddresses) {
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t port = base.port == 0 ? 0 : base.port + i;
            if (port > 65535) {
                throw UsageError("--count " + std::to_string(count) + ": the ports would exceed 65535");
            }
            addresses.push_back({ base.ip, static_cast<unsigned short>(port) });
        }
    }
    return addresses;
}

std::pair<std::string, std::string> parseHeader(const std::string &text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0) {
        throw UsageError("must be NAME: VALUE");
    }
    const auto value = text.find_first_not_of(' ', colon + 1);
    return { text.substr(0, colon), value == std::string::npos ? std::string() : text.substr(value) };
}

} // namespace

int runLog(int argc, char **argv)
{
    CommandLine flags("mulberryplank-standin log", "Stands in for the platform's log service.");
    std::vector<Address> addresses;
    LogServiceSettings settings;
    std::size_t keepSeconds = static_cast<std::size_t>(settings.retention.age.count());
    addListenFlag(flags, addresses, "where to listen (127.0.0.1:0)");
    flags.addNumber(
        "keep-records", "maximum number of records kept per stream", settings.retention.records, 1, 100'000'000);
    flags.addNumber("keep-seconds", "maximum age of a record", keepSeconds, 1, MaxKeepSeconds);
    flags.addNumber(
        "appends-per-second", "appends above this rate get 503; 0: unlimited", settings.appendsPerSecond, 0, 1e9);
    if (!flags.parse(argc, argv)) {
        return 0;
    }
    const Address address = lastAddress(addresses);
    settings.address = address.ip;
    settings.port = address.port;
    settings.retention.age = std::chrono::seconds(keepSeconds);
    ServiceThreads threads(1);
    LogService service(threads.contextFor(0), settings, now);
    threads.onStop(0, [&service] {
        service.stop();
    });
    announce("log", address.ip, service.port());
    threads.run();
    return 0;
}

int runVms(int argc, char **argv)
{
    CommandLine flags("mulberryplank-standin vms", "Stands in for the platform's list of VMs.");
    std::vector<Address> addresses;
    double lagMs = 0;
    addListenFlag(flags, addresses, "where to listen (127.0.0.1:0)");
    flags.addNumber("lag-ms", "delay until an update of the list is visible", lagMs, 0, MaxMillis);
    if (!flags.parse(argc, argv)) {
        return 0;
    }
    const Address address = lastAddress(addresses);
    ServiceThreads threads(1);
    VmList list(threads.contextFor(0), { address.ip, address.port, roundToMillis(lagMs) }, now);
    threads.onStop(0, [&list] {
        list.stop();
    });
    announce("vms", address.ip, list.port());
    threads.run();
    return 0;
}

int runTarget(int argc, char **argv)
{
    CommandLine flags("mulberryplank-standin target", "Stands in for targets of a service.");
    std::vector<Address> baseAddresses;
    TargetSettings settings;
    settings.serviceMs = 5;
    settings.probeMs = 25;
    settings.distribution = ServiceTime::LogNormal;
    std::size_t count = 1;
    std::size_t threadCount = 1;
    std::size_t seed = settings.seed;
    double coldMs = 0;
    std::string prefix = "target";
    addListenFlag(flags, baseAddresses, "where to listen; may be repeated (127.0.0.1:0)");
    flags.addNumber("count", "targets on consecutive ports from each --listen on", count, 1, MaxTargets);
    flags.addText("name", "PREFIX", "targets are named PREFIX-PORT (target)", prefix);
    flags.addNumber("slots", "requests processed at a time; 0: unlimited", settings.slots, 0, 1'000'000);
    flags.addNumber("queue",
                    "maximum number of requests that wait for a slot; further ones are shed",
                    settings.queue,
                    0,
                    1'000'000);
    flags.addNumber("service-ms", "mean service time of a request", settings.serviceMs, 0, MaxMillis);
    flags.add("distribution",
              "KIND",
              "distribution of the service time: fixed or lognormal (lognormal)",
              [&](const std::string &text) {
                  settings.distribution = parseServiceTime(text);
              });
    flags.addNumber("probe-ms", "time for which a health check occupies a slot", settings.probeMs, 0, MaxMillis);
    flags.addNumber("cold-ms", "time after the start during which requests take longer", coldMs, 0, MaxMillis);
    flags.addNumber("seed", "random seed; each target adds its index", seed, 0, SIZE_MAX);
    flags.addNumber("threads", "number of threads; each target uses one of them", threadCount, 1, MaxThreads);
    if (!flags.parse(argc, argv)) {
        return 0;
    }
    settings.cold = roundToMillis(coldMs);
    const std::vector<Address> addresses =
        consecutiveAddresses(baseAddresses.empty() ? std::vector { Address {} } : baseAddresses, count);
    ServiceThreads threads(threadCount);
    std::vector<std::unique_ptr<Target>> targets;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        settings.address = addresses[i].ip;
        settings.port = addresses[i].port;
        settings.seed = seed + i;
        settings.name = addresses[i].port == 0 ? prefix + "-" + std::to_string(i + 1)
                                               : prefix + "-" + std::to_string(addresses[i].port);
        targets.push_back(std::make_unique<Target>(threads.contextFor(i), settings, now));
        threads.onStop(i, [&target = *targets.back()] {
            target.stop();
        });
        announce(settings.name, settings.address, targets.back()->port());
    }
    threads.run();
    return 0;
}

int runLoad(int argc, char **argv)
{
    CommandLine flags("mulberryplank-standin load", "Sends requests over loopback and measures the responses.");
    LoadSettings settings;
    std::string account;
    std::string secret;
    bool json = false;
    flags.add("target",
              "IP:PORT",
              "where to send; may be repeated, connections use the targets round-robin",
              [&settings](const std::string &text) {
                  settings.targets.push_back(parseAddress(text));
              });
    flags.addNumber("requests", "maximum number of requests; required", settings.requests, 1, 100'000'000);
    flags.addNumber("seconds", "maximum duration; required", settings.seconds, 0.001, 3600);
    flags.addNumber("connections", "connections open at a time", settings.connections, 1, 100'000);
    flags.addNumber("threads", "number of threads of the generator", settings.threads, 1, MaxThreads);
    flags.addNumber(
        "rate", "requests per second on a fixed schedule; 0: each after the previous response", settings.rate, 0, 1e7);
    flags.addNumber("timeout-ms", "timeout of one request", settings.timeoutMs, 1, MaxMillis);
    flags.addText("method", "NAME", "method of the requests (GET)", settings.method);
    flags.addText("path", "PATH", "path of the requests (/)", settings.path);
    flags.addText("body", "TEXT", "body of the requests", settings.body);
    flags.addText("expect",
                  "TEXT",
                  "expected in the body of each 200; responses without it count as mismatched",
                  settings.expected);
    flags.add("header",
              "NAME: VALUE",
              "a request header, may be repeated; {n} is replaced by the request's number",
              [&settings](const std::string &text) {
                  settings.headers.push_back(parseHeader(text));
              });
    flags.addText("account", "NAME", "client account, sent together with --secret", account);
    flags.addText("secret", "TEXT", "the account's secret", secret);
    flags.addSwitch("json", "print the report as JSON", json);
    if (!flags.parse(argc, argv)) {
        return 0;
    }
    if (settings.targets.empty() || settings.requests == 0 || settings.seconds <= 0) {
        throw UsageError("--target, --requests and --seconds are required");
    }
    if (!account.empty()) {
        settings.headers.emplace_back("Authorization", "Bearer " + account + "." + secret);
    }
    LoadGenerator generator(std::move(settings));
    const LoadReport report = generator.run();
    std::cout << (json ? boost::json::serialize(report.toJson()) + "\n" : report.toText());
    return 0;
}

} // namespace standin
