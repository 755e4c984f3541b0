#include "mulberryplank/app/command.h"

#include <filesystem>
#include <sstream>

#include <rapidcheck.h>

#include "fakefleet.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

using namespace mulberryplank::testfleet;

namespace
{

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
    Operator user { fleet };

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
            FakeFleet localFleet;
            Operator localUser(localFleet);
            std::vector<Change> items { { service("s") } };
            std::vector<Change> rows;
            for (std::size_t index = 0; index < std::max(before.size(), after.size()); ++index) {
                items.push_back({ account("a" + std::to_string(index)) });
                if (index < before.size()) {
                    rows.push_back({ row("a" + std::to_string(index), "s", before[index] % 3 + 1, 0) });
                }
            }
            localFleet.apply("items", items);
            if (!rows.empty()) {
                localFleet.apply("rows", rows);
            }
            std::string csv = Heading;
            std::size_t expected = 0;
            for (std::size_t index = 0; index < after.size(); ++index) {
                const bool exists = index < before.size();
                csv += csvLine(row("a" + std::to_string(index), "s", after[index] % 3 + 1, exists ? RowsVersion : 0));
                expected += !exists || before[index] % 3 != after[index] % 3 ? 1 : 0;
            }
            const std::string path = localUser.file("table.csv", csv);
            const Run first = localUser.run({ "table", "import", path });
            RC_ASSERT(first.code == ExitCode::Done);
            RC_ASSERT(localFleet.editsSent == (expected == 0 ? 0 : 1));
            RC_ASSERT(expected == 0 || decodeEdit(localFleet.lastBody)->changes.size() == expected);
            for (std::size_t index = 0; index < after.size(); ++index) {
                const auto found = localFleet.table.row(AccountName("a" + std::to_string(index)), ServiceName("s"));
                RC_ASSERT(found->weight == after[index] % 3 + 1U);
            }
            // The same command again, as after one that was killed once its edit was out.
            const std::string exported = localUser.run({ "table", "export" }).out;
            const Run again = localUser.run({ "table", "import", localUser.file("again.csv", exported) });
            RC_ASSERT(again.code == ExitCode::Done);
            RC_ASSERT(localFleet.editsSent == (expected == 0 ? 0 : 1));
        }));
}

// Failure: a weight that another operator set in the meantime is back at its old value.
TEST(Command, importBasedOnOldVersionsIsRejectedAsAWhole)
{
    const std::string path = user.file("table.csv",
                                       Heading + csvLine(row("kpc", "pressdesk", 1, RowsVersion))
                                           + csvLine(row("trent", "pressdesk", 5, RowsVersion)));
    CHECK_TRUE(fleet.apply("other", { { row("kpc", "pressdesk", 9, RowsVersion) } }) == EditStatus::Accepted);
    const Run run = user.run({ "table", "import", path });
    checkRun(run, ExitCode::Refused);
    CHECK_TRUE(run.err.find("conflict: row (kpc, pressdesk)") != std::string::npos);
    LONGS_EQUAL(0, fleet.editsSent);
    LONGS_EQUAL(9, weightOf("kpc"));
}

// Failure: as above, though the file was fresh when it was read.
TEST(Command, editIsRejectedWhenAnotherEditIsAppliedFirst)
{
    fleet.beforeEdit = [this] {
        fleet.apply("other", { { row("kpc", "pressdesk", 9, RowsVersion) } });
    };
    checkRun(user.run({ "table", "set", "kpc", "pressdesk", "weight=3" }), ExitCode::Refused);
    LONGS_EQUAL(9, weightOf("kpc"));
}

// Failure: an account's weight goes up by two edits, or the command reports a conflict with its own edit.
TEST(Command, editIsRetriedUnderItsIdAfterALostResponseAndAppliedOnce)
{
    fleet.responsesToLose = 2;
    checkRun(user.run({ "table", "set", "kpc", "pressdesk", "weight=3" }), ExitCode::Done);
    LONGS_EQUAL(3, fleet.editsSent);
    LONGS_EQUAL(1, fleet.editIds.size());
    LONGS_EQUAL(RowsVersion + 1, fleet.table.row(AccountName("kpc"), ServiceName("pressdesk"))->version);
}

TEST(Command, editOfUnknownOutcomeIsNotReportedAsRefused)
{
    fleet.responsesToLose = 1000;
    const Run run = user.run({ "accounts", "add", "shop" });
    checkRun(run, ExitCode::Unavailable);
    CHECK_TRUE(run.err.find("may or may not have been accepted") != std::string::npos);
    CHECK_TRUE(run.out.find("secret:") == std::string::npos);
}

TEST(Command, exitCodesDistinguishOutcomes)
{
    checkRun(user.run({ "table", "set", "kpc", "pressdesk", "weight=2" }), ExitCode::Done);
    checkRun(user.run({ "accounts", "add", "kpc" }), ExitCode::Refused);
    checkRun(user.run({ "table", "set", "nobody", "pressdesk", "weight=2" }), ExitCode::Refused);
    checkRun(user.run({ "table", "set", "kpc", "pressdesk", "weight=0" }), ExitCode::Usage);
    checkRun(user.run({ "table", "set", "kpc", "pressdesk", "wieght=2" }), ExitCode::Usage);
    checkRun(user.run({ "table", "import" }), ExitCode::Usage);
    checkRun(user.run({ "table", "import", "/nonexistent/table.csv" }), ExitCode::Usage);
    checkRun(user.run({ "frob" }), ExitCode::Usage);
    fleet.missing = { "vm-7" };
    const Run late = user.run({ "table", "set", "kpc", "pressdesk", "weight=5" });
    checkRun(late, ExitCode::PartlyInForce);
    CHECK_TRUE(late.out.find("in force in 1 of 2 proxies\nmissing: vm-7\n") != std::string::npos);
    fleet.unreachable = true;
    checkRun(user.run({ "table", "set", "kpc", "pressdesk", "weight=2" }), ExitCode::Unavailable);
}

TEST(Command, dryRunShowsTheDifferenceAndSendsNothing)
{
    const Run run = user.run({ "table", "set", "kpc", "pressdesk", "weight=3", "--dry-run" });
    checkRun(run, ExitCode::Done);
    STRCMP_EQUAL("~ row (kpc, pressdesk): weight 1 -> 3\n1 would change; nothing was sent\n", run.out.c_str());
    LONGS_EQUAL(0, fleet.editsSent);
}

TEST(Command, rowsMissingFromAFileAreRemovedOnlyOnRequest)
{
    const std::string path = user.file("table.csv", Heading + csvLine(row("kpc", "pressdesk", 1, RowsVersion)));
    checkRun(user.run({ "table", "import", path }), ExitCode::Done);
    LONGS_EQUAL(2, fleet.table.rows().size());
    const Run run = user.run({ "table", "import", path, "--remove-missing" });
    checkRun(run, ExitCode::Done);
    CHECK_TRUE(run.out.starts_with("- row (trent, pressdesk)"));
    LONGS_EQUAL(1, fleet.table.rows().size());
}

TEST(Command, secretIsPrintedOnceAndOnlyItsDigestIsSent)
{
    const Run run = user.run({ "accounts", "add", "shop" });
    checkRun(run, ExitCode::Done);
    const std::size_t at = run.out.find("secret: ") + std::string("secret: ").size();
    const std::string secret = run.out.substr(at, 64);
    CHECK_TRUE(fleet.lastBody.find(secret) == std::string::npos);
    CHECK_TRUE(fleet.lastBody.find("secret_sha256") != std::string::npos);
    CHECK_TRUE(user.run({ "accounts", "list" }).out.find("shop") != std::string::npos);
}

TEST(Command, importOfServicesRoutesAndTargetsIsIdempotent)
{
    const std::string services = user.file("services.csv",
                                           "\xef\xbb\xbfservice;detection;floor_share;floor_count\r\n"
                                           "proofroom;fast;0,5;2\r\n\r\n");
    const std::string routes = user.file("routes.csv",
                                         "service,route,method,path_prefix,idempotent,timeout_ms\n"
                                         "proofroom,packs,GET,\"/packs, all\",TRUE,60000\n");
    const Run refused = user.run({ "services", "import", services, "--routes", routes });
    checkRun(refused, ExitCode::Usage);
    CHECK_TRUE(refused.err.ends_with("routes.csv line 2: column path_prefix: '/packs, all' is not allowed; allowed: a "
                                     "path that begins with / and has no blanks\n"));
    const std::string corrected = user.file("routes.csv",
                                            "service,route,method,path_prefix,idempotent,timeout_ms\n"
                                            "proofroom,packs,GET,\"/packs\",TRUE,60000\n");
    const std::string targets = user.file("targets.csv",
                                          "target,service,host,port,failure_domain\n"
                                          "pr-1,proofroom,127.0.0.1,9001,klein-hall\n");
    for (int round = 0; round < 2; ++round) {
        checkRun(user.run({ "services", "import", services, "--routes", corrected }), ExitCode::Done);
        checkRun(user.run({ "targets", "import", targets }), ExitCode::Done);
        LONGS_EQUAL(2, fleet.editsSent);
    }
    checkRun(user.run({ "services", "import", services }), ExitCode::Done);
    LONGS_EQUAL(2, fleet.editsSent);
    checkRun(user.run({ "targets", "remove", "pr-1" }), ExitCode::Done);
    checkRun(user.run({ "targets", "remove", "pr-1" }), ExitCode::Done);
    LONGS_EQUAL(3, fleet.editsSent);
}

TEST(Command, samplesAreImportedUnchanged)
{
    for (const auto &sample : std::filesystem::directory_iterator(MULBERRYPLANK_SOURCE_DIR "/samples")) {
        if (!sample.is_directory()) {
            continue;
        }
        FakeFleet empty;
        Operator newUser(empty);
        const std::string folder = sample.path().string();
        checkRun(newUser.run({ "accounts", "import", folder + "/accounts.csv" }), ExitCode::Done);
        checkRun(newUser.run({ "services", "import", folder + "/services.csv", "--routes", folder + "/routes.csv" }),
                 ExitCode::Done);
        checkRun(newUser.run({ "targets", "import", folder + "/targets.csv" }), ExitCode::Done);
        checkRun(newUser.run({ "table", "import", folder + "/table.csv" }), ExitCode::Done);
        CHECK_FALSE(empty.table.rows().empty());
    }
}

TEST(Command, csvErrorsNameLineColumnAndValueButNoSecret)
{
    const std::string targets = user.file("targets.csv",
                                          "target,service,host,port,failure_domain\n"
                                          "pr-1,proofroom,localhost,9001,klein-hall\n"
                                          "pr-2,proofroom,127.0.0.1,0,klein-hall,extra\n");
    const Run run = user.run({ "targets", "import", targets });
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
        const Run secret = user.run({ "accounts", "import", user.file("accounts.csv", text) });
        checkRun(secret, ExitCode::Usage);
        CHECK_TRUE(secret.err.find("hushhush") == std::string::npos);
    }
}

TEST(Command, statusExitsWithOneWhenSomethingNeedsAttention)
{
    const std::string healthy = R"("ready":true,"log_reachable":true,"applied":4)";
    const std::string limit = R"("accounts":[{"account":"kpc","refused":{"queue_full":7}}])";
    fleet.status = "{" + healthy + R"(,"members":[{"status":"alive","applied":5}],"services":[{)" + limit + "}]}";
    const Run run = user.run({ "status" });
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
        checkRun(user.run({ "status" }), ExitCode::Refused);
    }
}

TEST(Command, helpOfEachCommandNamesItsOptions)
{
    for (const char *commandName :
         { "proxy", "check", "table import", "accounts add", "targets list", "locate", "status" }) {
        std::istringstream text(commandName);
        std::vector<std::string> line { std::istream_iterator<std::string>(text), {} };
        line.emplace_back("--help");
        const Run run = user.run(line);
        checkRun(run, ExitCode::Done);
        CHECK_TRUE(run.out.starts_with("usage: mulberryplank " + std::string(commandName)));
        CHECK_TRUE(run.out.find("Variable: MULBERRYPLANK_") != std::string::npos);
    }
    checkRun(user.run({ "locate", "pressdesk" }), ExitCode::Done);
}
