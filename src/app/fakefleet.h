#pragma once

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <boost/json.hpp>

#include "mulberryplank/app/command.h"
#include "mulberryplank/policy/tablecsv.h"

// What the tests of the commands share.
namespace mulberryplank::testfleet
{

// A fleet of one proxy over a log that takes effect at once, with faults to be switched on.
class FakeFleet
{
public:
    ConfigTable table;
    std::vector<std::string> missing; // VMs that never get an edit
    int responsesToLose = 0; // of edits, after they took effect
    bool unreachable = false;
    std::size_t editsSent = 0;
    std::set<std::string> editIds;
    std::string lastBody;
    std::string status = "{}";
    std::function<void()> beforeEdit = [] {};

    Result<HttpResponse> exchange(const HttpRequest &call)
    {
        if (unreachable) {
            return failure(ErrorKind::ConnectFailed, "connection refused");
        }
        if (call.bearerToken != "0123456789abcdef0123456789abcdef" && !call.path.starts_with("/-/locate/")) {
            return HttpResponse { 401, R"({"error":"unauthenticated"})" };
        }
        return call.method == "POST" ? edit(call.body) : HttpResponse { 200, queryResponse(call.path) };
    }

    // Applies an edit as another operator would.
    EditStatus apply(const std::string &id, std::vector<Change> changes)
    {
        return table.apply(table.nextOffset(), encodeEdit({ EditId(id), std::move(changes) }))->status;
    }

private:
    Result<HttpResponse> edit(const std::string &body)
    {
        beforeEdit();
        lastBody = body;
        ++editsSent;
        const Result<Edit> decoded = decodeEdit(body);
        editIds.insert(decoded->id.value());
        const Offset offset = table.nextOffset();
        EditOutcome outcome = *table.apply(offset, body);
        if (outcome.status == EditStatus::Repeated) {
            outcome = *table.outcomeOf(decoded->id);
        }
        if (responsesToLose > 0) {
            --responsesToLose;
            return failure(ErrorKind::TargetReset, "connection reset");
        }
        if (outcome.status == EditStatus::Conflict) {
            return HttpResponse { 409, R"({"error":"conflict","detail":"based on an older version"})" };
        }
        if (outcome.status != EditStatus::Accepted) {
            return HttpResponse { 422, R"({"error":"bad-configuration","detail":")" + outcome.detail + "\"}" };
        }
        boost::json::object reply { { "status", "accepted" },
                                    { "offset", outcome.offset },
                                    { "in_force", { "vm-1" } } };
        reply["missing"] = boost::json::value_from(missing);
        return HttpResponse { 200, boost::json::serialize(reply) };
    }

    std::string queryResponse(const std::string &path) const
    {
        if (path == "/-/table") {
            return exportTable(table);
        }
        if (path == "/-/status") {
            return status;
        }
        if (path == "/-/locate/pressdesk") {
            return R"({"service":"pressdesk","lifetime_ms":10000,"addresses":[{"host":"10.0.0.1","port":80,)"
                   R"("failure_domain":"klein-hall","weight":2}]})";
        }
        std::string list;
        const auto add = [&](const std::string &item) {
            list += (list.empty() ? "" : ",") + item;
        };
        for (const Account *account : table.accounts()) {
            if (path == "/-/accounts") {
                add(R"({"name":")" + account->name.value() + R"(","version":)" + std::to_string(account->version)
                    + "}");
            }
        }
        for (const Service *service : table.services()) {
            if (path == "/-/services") {
                add(encodeItem(*service));
            }
            for (const Target *target : table.targetsOf(service->name)) {
                if (path == "/-/targets") {
                    add(encodeItem(*target));
                }
            }
        }
        return "[" + list + "]";
    }
};

// What one run of the program left behind.
struct Run {
    ExitCode code;
    std::string out;
    std::string err;
};

// The program's surroundings, with an operator's key and a folder for files.
class Operator
{
public:
    explicit Operator(FakeFleet &fleet)
        : m_fleet(fleet)
        , m_folder(std::filesystem::temp_directory_path() / "mulberryplank-commandtest")
    {
        std::filesystem::create_directories(m_folder);
        m_keyFile = file("key", "0123456789abcdef0123456789abcdef\n");
    }

    ~Operator()
    {
        std::filesystem::remove_all(m_folder);
    }

    Operator(const Operator &) = delete;
    Operator &operator=(const Operator &) = delete;

    std::string file(const std::string &name, const std::string &content) const
    {
        std::ofstream(m_folder / name, std::ios::binary) << content;
        return (m_folder / name).string();
    }

    Run run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "mulberryplank");
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        std::ostringstream out;
        std::ostringstream err;
        const auto environment = [this](const std::string &variable) -> std::optional<std::string> {
            if (variable == "MULBERRYPLANK_ADMIN" || variable == "MULBERRYPLANK_PROXY") {
                return "127.0.0.1:8081";
            }
            return variable == "MULBERRYPLANK_OPERATOR_KEY_FILE" ? std::optional(m_keyFile) : std::nullopt;
        };
        const auto exchange = [this](const HttpRequest &call) {
            return m_fleet.exchange(call);
        };
        const auto randomBytes = [this](std::size_t size) {
            return std::string(size, static_cast<char>(++m_draws));
        };
        std::istringstream in(input);
        CommandContext context { environment, {}, in, out, err, exchange, [](Millis) {}, randomBytes };
        const ExitCode code = runCommand(static_cast<int>(arguments.size()), argv.data(), context);
        return { code, out.str(), err.str() };
    }

    std::string input; // what a command reads from standard input

private:
    FakeFleet &m_fleet;
    std::filesystem::path m_folder;
    std::string m_keyFile;
    unsigned char m_draws = 0;
};

} // namespace mulberryplank::testfleet
