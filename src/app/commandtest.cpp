#include "mulberryplank/app/command.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <rapidcheck.h>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

#include "mulberryplank/policy/tablecsv.h"

using namespace mulberryplank;

namespace
{

// A fleet of one proxy over a log that takes effect at once, with faults to be switched on.
class FakeFleet
{
public:
    ConfigTable table;
    std::vector<std::string> missing; // VMs that never get an edit
    int answersToLose = 0; // of edits, after they took effect
    bool away = false;
    std::size_t editsSent = 0;
    std::set<std::string> editIds;
    std::string lastBody;
    std::string status = "{}";
    std::function<void()> beforeEdit = [] {};

    Result<HttpReply> exchange(const HttpCall &call)
    {
        if (away) {
            return failure(ErrorKind::ConnectFailed, "connection refused");
        }
        if (call.bearer != "0123456789abcdef0123456789abcdef" && !call.path.starts_with("/-/locate/")) {
            return HttpReply { 401, R"({"error":"unauthenticated"})" };
        }
        return call.method == "POST" ? edit(call.body) : HttpReply { 200, answer(call.path) };
    }

    // Applies an edit as another operator would.
    EditStatus apply(const std::string &id, std::vector<Change> changes)
    {
        return table.apply(table.nextOffset(), encodeEdit({ EditId(id), std::move(changes) }))->status;
    }

private:
    Result<HttpReply> edit(const std::string &body)
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
        if (answersToLose > 0) {
            --answersToLose;
            return failure(ErrorKind::TargetReset, "connection reset");
        }
        if (outcome.status == EditStatus::Conflict) {
            return HttpReply { 409, R"({"error":"conflict","detail":"based on an older version"})" };
        }
        if (outcome.status != EditStatus::Accepted) {
            return HttpReply { 422, R"({"error":"bad-configuration","detail":")" + outcome.detail + "\"}" };
        }
        boost::json::object reply { { "status", "accepted" },
                                    { "offset", outcome.offset },
                                    { "in_force", { "vm-1" } } };
        reply["missing"] = boost::json::value_from(missing);
        return HttpReply { 200, boost::json::serialize(reply) };
    }

    std::string answer(const std::string &path) const
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

    Run run(std::vector<std::string> words)
    {
        words.insert(words.begin(), "mulberryplank");
        std::vector<char *> argv;
        for (std::string &word : words) {
            argv.push_back(word.data());
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
        const auto exchange = [this](const HttpCall &call) {
            return m_fleet.exchange(call);
        };
        const auto randomBytes = [this](std::size_t size) {
            return std::string(size, static_cast<char>(++m_draws));
        };
        CommandContext context { environment, {}, out, err, exchange, [](Millis) {}, randomBytes };
        const ExitCode code = runCommand(static_cast<int>(words.size()), argv.data(), context);
        return { code, out.str(), err.str() };
    }

private:
    FakeFleet &m_fleet;
    std::filesystem::path m_folder;
    std::string m_keyFile;
    unsigned char m_draws = 0;
};

Row row(const std::string &account, const std::string &service, std::uint32_t weight, mulberryplank::Version version)
{
    return { AccountName(account), ServiceName(service), weight, {}, version };
}

Account account(const std::string &name)
{
    Account item;
    item.name = AccountName(name);
    item.secretDigest.fill(7);
    return item;
}

Service service(const std::string &name)
{
    Service item;
    item.name = ServiceName(name);
    return item;
}

// The version of rows that the second record of a log sets.
constexpr mulberryplank::Version RowsVersion = 2;

constexpr const char *Heading = "account,service,weight,requests_per_second,in_flight,queue,version\n";

std::string csvLine(const Row &item)
{
    return item.account.value() + "," + item.service.value() + "," + std::to_string(item.weight) + ",0,0,0,"
           + std::to_string(item.version) + "\n";
}

} // namespace

TEST_GROUP(Command)
{
    FakeFleet fleet;
    Operator person { fleet };

    void setup() override
    {
        CHECK_TRUE(fleet.apply("items", { { account("kpc") }, { account("trent") }, { service("pressdesk") } })
                   == EditStatus::Accepted);
        CHECK_TRUE(fleet.apply("rows", { { row("kpc", "pressdesk", 1, 0) }, { row("trent", "pressdesk", 1, 0) } })
                   == EditStatus::Accepted);
    }

    void checkRun(const Run &run, ExitCode code)
    {
        CHECK_EQUAL_TEXT(static_cast<int>(code), static_cast<int>(run.code), (run.out + run.err).c_str());
    }

    std::uint32_t weightOf(const std::string &name) const
    {
        return fleet.table.row(AccountName(name), ServiceName("pressdesk"))->weight;
    }
};

TEST(Command, importChangesExactlyTheRowsThatDifferAndRepeatingItChangesNothing)
{
    CHECK_TRUE(rc::check(
        "the table becomes the file",
        [](const std::vector<std::uint8_t> &before, const std::vector<std::uint8_t> &after) {
            FakeFleet drawn;
            Operator clerk(drawn);
            std::vector<Change> items { { service("s") } };
            std::vector<Change> rows;
            for (std::size_t index = 0; index < std::max(before.size(), after.size()); ++index) {
                items.push_back({ account("a" + std::to_string(index)) });
                if (index < before.size()) {
                    rows.push_back({ row("a" + std::to_string(index), "s", before[index] % 3 + 1, 0) });
                }
            }
            drawn.apply("items", items);
            if (!rows.empty()) {
                drawn.apply("rows", rows);
            }
            std::string csv = Heading;
            std::size_t expected = 0;
            for (std::size_t index = 0; index < after.size(); ++index) {
                const bool exists = index < before.size();
                csv += csvLine(row("a" + std::to_string(index), "s", after[index] % 3 + 1, exists ? RowsVersion : 0));
                expected += !exists || before[index] % 3 != after[index] % 3 ? 1 : 0;
            }
            const std::string path = clerk.file("table.csv", csv);
            const Run first = clerk.run({ "table", "import", path });
            RC_ASSERT(first.code == ExitCode::Done);
            RC_ASSERT(drawn.editsSent == (expected == 0 ? 0 : 1));
            RC_ASSERT(expected == 0 || decodeEdit(drawn.lastBody)->changes.size() == expected);
            for (std::size_t index = 0; index < after.size(); ++index) {
                const auto found = drawn.table.row(AccountName("a" + std::to_string(index)), ServiceName("s"));
                RC_ASSERT(found->weight == after[index] % 3 + 1U);
            }
            // The same command again, as after one that was killed once its edit was out.
            const std::string exported = clerk.run({ "table", "export" }).out;
            const Run again = clerk.run({ "table", "import", clerk.file("again.csv", exported) });
            RC_ASSERT(again.code == ExitCode::Done);
            RC_ASSERT(drawn.editsSent == (expected == 0 ? 0 : 1));
        }));
}

// Symptom: a weight that another operator set in the meantime is back at its old value.
// Sequence: A exports; B sets kpc's weight to 9; A imports the file, in which kpc still stands at 1 and trent at 5.
// Cause: the file's old value looks like A's wish.
TEST(Command, importOfAFileOlderThanAnotherOperatorsEditIsRefusedWhole)
{
    const std::string path = person.file("table.csv",
                                         Heading + csvLine(row("kpc", "pressdesk", 1, RowsVersion))
                                             + csvLine(row("trent", "pressdesk", 5, RowsVersion)));
    CHECK_TRUE(fleet.apply("other", { { row("kpc", "pressdesk", 9, RowsVersion) } }) == EditStatus::Accepted);
    const Run run = person.run({ "table", "import", path });
    checkRun(run, ExitCode::Refused);
    CHECK_TRUE(run.err.find("conflict: row (kpc, pressdesk)") != std::string::npos);
    LONGS_EQUAL(0, fleet.editsSent);
    LONGS_EQUAL(9, weightOf("kpc"));
}

// Symptom: as above, though the file was fresh when it was read.
// Sequence: A's command reads the table; B's edit is accepted; A's command sends its edit.
// Cause: the check before sending sees only what was in force then; the version in the edit settles the race.
TEST(Command, editThatLosesARaceIsRefused)
{
    fleet.beforeEdit = [this] {
        fleet.apply("other", { { row("kpc", "pressdesk", 9, RowsVersion) } });
    };
    checkRun(person.run({ "table", "set", "kpc", "pressdesk", "weight=3" }), ExitCode::Refused);
    LONGS_EQUAL(9, weightOf("kpc"));
}

// Symptom: an account's weight goes up by two edits, or the command reports a conflict with its own edit.
// Sequence: the edit takes effect; its answer is lost; the command sends it again.
// Cause: a repeat under a fresh id is a second edit.
TEST(Command, editWhoseAnswerWasLostIsRepeatedUnderItsIdAndTakesEffectOnce)
{
    fleet.answersToLose = 2;
    checkRun(person.run({ "table", "set", "kpc", "pressdesk", "weight=3" }), ExitCode::Done);
    LONGS_EQUAL(3, fleet.editsSent);
    LONGS_EQUAL(1, fleet.editIds.size());
    LONGS_EQUAL(RowsVersion + 1, fleet.table.row(AccountName("kpc"), ServiceName("pressdesk"))->version);
}

TEST(Command, editOfUnknownOutcomeIsNotCalledRefused)
{
    fleet.answersToLose = 1000;
    const Run run = person.run({ "accounts", "add", "shop" });
    checkRun(run, ExitCode::Unavailable);
    CHECK_TRUE(run.err.find("may or may not have been accepted") != std::string::npos);
    CHECK_TRUE(run.out.find("secret:") == std::string::npos);
}

TEST(Command, exitCodesTellScriptsWhatHappened)
{
    checkRun(person.run({ "table", "set", "kpc", "pressdesk", "weight=2" }), ExitCode::Done);
    checkRun(person.run({ "accounts", "add", "kpc" }), ExitCode::Refused);
    checkRun(person.run({ "table", "set", "nobody", "pressdesk", "weight=2" }), ExitCode::Refused);
    checkRun(person.run({ "table", "set", "kpc", "pressdesk", "weight=0" }), ExitCode::Usage);
    checkRun(person.run({ "table", "set", "kpc", "pressdesk", "wieght=2" }), ExitCode::Usage);
    checkRun(person.run({ "table", "import" }), ExitCode::Usage);
    checkRun(person.run({ "table", "import", "/nonexistent/table.csv" }), ExitCode::Usage);
    checkRun(person.run({ "frob" }), ExitCode::Usage);
    fleet.missing = { "vm-7" };
    const Run late = person.run({ "table", "set", "kpc", "pressdesk", "weight=5" });
    checkRun(late, ExitCode::NotEverywhere);
    CHECK_TRUE(late.out.find("in force in 1 of 2 proxies\nmissing: vm-7\n") != std::string::npos);
    fleet.away = true;
    checkRun(person.run({ "table", "set", "kpc", "pressdesk", "weight=2" }), ExitCode::Unavailable);
}

TEST(Command, dryRunShowsTheDifferenceAndSendsNothing)
{
    const Run run = person.run({ "table", "set", "kpc", "pressdesk", "weight=3", "--dry-run" });
    checkRun(run, ExitCode::Done);
    STRCMP_EQUAL("~ row (kpc, pressdesk): weight 1 -> 3\n1 would change; nothing was sent\n", run.out.c_str());
    LONGS_EQUAL(0, fleet.editsSent);
}

TEST(Command, rowsMissingFromAFileGoOnlyWhenAskedTo)
{
    const std::string path = person.file("table.csv", Heading + csvLine(row("kpc", "pressdesk", 1, RowsVersion)));
    checkRun(person.run({ "table", "import", path }), ExitCode::Done);
    LONGS_EQUAL(2, fleet.table.rows().size());
    const Run run = person.run({ "table", "import", path, "--remove-missing" });
    checkRun(run, ExitCode::Done);
    CHECK_TRUE(run.out.starts_with("- row (trent, pressdesk)"));
    LONGS_EQUAL(1, fleet.table.rows().size());
}

TEST(Command, secretIsPrintedOnceAndOnlyItsDigestIsSent)
{
    const Run run = person.run({ "accounts", "add", "shop" });
    checkRun(run, ExitCode::Done);
    const std::size_t at = run.out.find("secret: ") + std::string("secret: ").size();
    const std::string secret = run.out.substr(at, 64);
    CHECK_TRUE(fleet.lastBody.find(secret) == std::string::npos);
    CHECK_TRUE(fleet.lastBody.find("secret_sha256") != std::string::npos);
    CHECK_TRUE(person.run({ "accounts", "list" }).out.find("shop") != std::string::npos);
}

TEST(Command, servicesRoutesAndTargetsComeFromCsvAndASecondImportFindsNothing)
{
    const std::string services = person.file("services.csv",
                                             "\xef\xbb\xbfservice;detection;floor_share;floor_count\r\n"
                                             "proofroom;fast;0,5;2\r\n\r\n");
    const std::string routes = person.file("routes.csv",
                                           "service,route,method,path_prefix,idempotent,timeout_ms\n"
                                           "proofroom,packs,GET,\"/packs, all\",TRUE,60000\n");
    const Run refused = person.run({ "services", "import", services, "--routes", routes });
    checkRun(refused, ExitCode::Usage);
    CHECK_TRUE(refused.err.ends_with("routes.csv line 2: column path_prefix: '/packs, all' is not allowed; allowed: a "
                                     "path that begins with / and has no blanks\n"));
    const std::string mended = person.file("routes.csv",
                                           "service,route,method,path_prefix,idempotent,timeout_ms\n"
                                           "proofroom,packs,GET,\"/packs\",TRUE,60000\n");
    const std::string targets = person.file("targets.csv",
                                            "target,service,host,port,failure_domain\n"
                                            "pr-1,proofroom,127.0.0.1,9001,klein-hall\n");
    for (int round = 0; round < 2; ++round) {
        checkRun(person.run({ "services", "import", services, "--routes", mended }), ExitCode::Done);
        checkRun(person.run({ "targets", "import", targets }), ExitCode::Done);
        LONGS_EQUAL(2, fleet.editsSent);
    }
    checkRun(person.run({ "services", "import", services }), ExitCode::Done);
    LONGS_EQUAL(2, fleet.editsSent);
    checkRun(person.run({ "targets", "remove", "pr-1" }), ExitCode::Done);
    checkRun(person.run({ "targets", "remove", "pr-1" }), ExitCode::Done);
    LONGS_EQUAL(3, fleet.editsSent);
}

TEST(Command, everyFaultOfACsvFileIsNamedByLineColumnAndValueButNoSecretIs)
{
    const std::string targets = person.file("targets.csv",
                                            "target,service,host,port,failure_domain\n"
                                            "pr-1,proofroom,localhost,9001,klein-hall\n"
                                            "pr-2,proofroom,127.0.0.1,0,klein-hall,extra\n");
    const Run run = person.run({ "targets", "import", targets });
    checkRun(run, ExitCode::Usage);
    STRCMP_EQUAL((targets + " line 2: column host: 'localhost' is not allowed; allowed: an IP number\n" + targets
                  + " line 3: column port: '0' is not allowed; allowed: 1 to 65535\n" + targets
                  + " line 3: column (none): 'extra' is not allowed; allowed: no more fields than headings\n")
                     .c_str(),
                 run.err.c_str());
    for (const char *text : { "account,secret\nshop,hushhush\n",
                              "shop,hushhush\n",
                              "account,secret\nshop,x,hushhush\n",
                              "account,secret\nshop,hushhush-hushhush-hush.hush\n" }) {
        const Run secret = person.run({ "accounts", "import", person.file("accounts.csv", text) });
        checkRun(secret, ExitCode::Usage);
        CHECK_TRUE(secret.err.find("hushhush") == std::string::npos);
    }
}

TEST(Command, statusEndsWithOneWhereSomethingNeedsAttention)
{
    const std::string healthy = R"("ready":true,"log_reachable":true,"applied":4)";
    const std::string limit = R"("accounts":[{"account":"kpc","refused":{"queue_full":7}}])";
    fleet.status = "{" + healthy + R"(,"members":[{"status":"alive","applied":5}],"services":[{)" + limit + "}]}";
    const Run run = person.run({ "status" });
    checkRun(run, ExitCode::Done);
    CHECK_TRUE(run.out.find("queue_full  7") != std::string::npos);
    for (const std::string &part : { std::string(R"("log_reachable":true,"applied":4)"),
                                     std::string(R"("ready":true,"log_reachable":false)"),
                                     healthy + R"(,"draining":true)",
                                     healthy + R"(,"members":[{"status":"suspect"}])",
                                     healthy + R"(,"members":[{"status":"alive","applied":60}])",
                                     healthy + R"(,"services":[{"floor_binds":true}])",
                                     healthy + R"(,"services":[{"targets":[{"phase":"ejected"}]}])" }) {
        fleet.status = "{" + part + "}";
        checkRun(person.run({ "status" }), ExitCode::Refused);
    }
}

TEST(Command, everyCommandHasHelpThatNamesItsOptions)
{
    for (const char *words : { "proxy", "check", "table import", "accounts add", "targets list", "locate", "status" }) {
        std::istringstream text(words);
        std::vector<std::string> line { std::istream_iterator<std::string>(text), {} };
        line.emplace_back("--help");
        const Run run = person.run(line);
        checkRun(run, ExitCode::Done);
        CHECK_TRUE(run.out.starts_with("usage: mulberryplank " + std::string(words)));
        CHECK_TRUE(run.out.find("Variable: MULBERRYPLANK_") != std::string::npos);
    }
    checkRun(person.run({ "locate", "pressdesk" }), ExitCode::Done);
}
