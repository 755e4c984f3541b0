// Client accounts at a gateway: who may call, and what targets learn of it.
#include "mulberryplank/net/gatewaysession.h"

#include <future>

#include <boost/asio/post.hpp>

#include <CppUTest/TestHarness.h>

#include "gatewaytesthelp.h"

using namespace mulberryplank;
using namespace mulberryplank::pathtest;

namespace
{

// A gateway with one target and the account "press", which holds the keys "key-1" and "key-2".
struct Accounts {
    explicit Accounts(bool isPublic = false)
        : gateway({ target.port() }, RouteKind::NonIdempotent)
    {
        setKeys({ "key-1", "key-2" }, isPublic);
    }

    // Starts serving and returns a caller's connection.
    Peer start()
    {
        gateway.start();
        return gateway.caller();
    }

    void setKeys(const std::vector<std::string_view> &keys, bool isPublic = false)
    {
        RouteTable table = *gateway.routes;
        table.hosts["press.example"].front().isPublic = isPublic;
        ClientAccount account;
        account.name = AccountName("press");
        table.accounts.emplace();
        table.accounts->add(account, keys);
        CHECK_TRUE(table.accounts->seal().has_value());
        gateway.routes = std::make_shared<const RouteTable>(std::move(table));
    }

    // Puts a configuration with these keys in force while the gateway runs.
    void changeKeys(const std::vector<std::string_view> &keys)
    {
        std::promise<void> changed;
        boost::asio::post(gateway.worker.context, [this, &keys, &changed] {
            setKeys(keys);
            changed.set_value();
        });
        changed.get_future().wait();
    }

    // Returns the header that the target receives for a request with these fields.
    std::string headerAtTarget(Peer &caller, const std::string &fields)
    {
        caller.write(TestGateway::request("POST", "id-1", fields + "Content-Length: 0\r\n"));
        return target.accept().readHeader();
    }

    ScriptedTarget target;
    TestGateway gateway;
};

} // namespace

TEST_GROUP(AccountSession) {};

TEST(AccountSession, targetLearnsTheAccountButNotTheKey)
{
    Accounts fixture;
    Peer caller = fixture.start();
    const std::string header = fixture.headerAtTarget(caller, "X-Key: key-2\r\n");
    STRCMP_EQUAL("press", field(header, "X-Account").c_str());
    CHECK_FALSE(contains(header, "key-2"));
}

TEST(AccountSession, requestWithoutAKnownKeyGets401WithoutAnAttempt)
{
    for (const std::string fields : { "", "X-Key: key-3\r\n", "X-Account: press\r\n" }) {
        Accounts fixture;
        Peer caller = fixture.start();
        caller.write(TestGateway::request("GET", "id-1", fields));
        const std::string header = caller.readHeader();
        CHECK_TRUE(contains(header, " 401 "));
        STRCMP_EQUAL("Test", field(header, "WWW-Authenticate").c_str());
        CHECK_FALSE(fixture.target.hasConnection());
    }
}

// Guards against callers without a key that find out which routes exist.
TEST(AccountSession, requestWithoutAKeyGets401AlsoWithoutARoute)
{
    Accounts fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "", "/b/1"));
    CHECK_TRUE(contains(caller.readHeader(), " 401 "));
}

TEST(AccountSession, requestWithoutARouteGets404)
{
    Accounts fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "X-Key: key-1\r\n", "/b/1"));
    CHECK_TRUE(contains(caller.readHeader(), " 404 "));
}

// Guards against callers without a key that fill the memory with bodies.
TEST(AccountSession, bodyOfARequestWithoutAKeyIsNotRead)
{
    Accounts fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "Content-Length: 1000000\r\n"));
    const std::string header = caller.readHeader();
    CHECK_TRUE(contains(header, " 401 "));
    STRCMP_EQUAL("close", field(header, "Connection").c_str());
}

// Guards against callers that name an account to targets themselves.
TEST(AccountSession, accountNamedByTheCallerIsReplaced)
{
    Accounts fixture;
    Peer caller = fixture.start();
    const std::string header =
        fixture.headerAtTarget(caller, "X-Key: key-1\r\nX-Account: farm\r\nx-account: clinic\r\n");
    STRCMP_EQUAL("press", field(header, "X-Account").c_str());
    CHECK_FALSE(contains(header, "farm"));
    CHECK_FALSE(contains(header, "clinic"));
}

TEST(AccountSession, accountNamedInATrailerIsReplaced)
{
    Accounts fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "X-Key: key-1\r\nTransfer-Encoding: chunked\r\n")
                 + "3\r\nabc\r\n0\r\nX-Account: farm\r\nX-Key: key-2\r\n\r\n");
    const std::string header = fixture.target.accept().readHeader();
    STRCMP_EQUAL("press", field(header, "X-Account").c_str());
    CHECK_FALSE(contains(header, "farm"));
    CHECK_FALSE(contains(header, "key-"));
}

TEST(AccountSession, publicRouteServesCallersWithoutAccount)
{
    for (const std::string fields : { "X-Account: farm\r\n", "X-Account: farm\r\nX-Key: key-3\r\n" }) {
        Accounts fixture(true);
        Peer caller = fixture.start();
        const std::string header = fixture.headerAtTarget(caller, fields);
        STRCMP_EQUAL("", field(header, "X-Account").c_str());
        CHECK_FALSE(contains(header, "key-3"));
    }
}

TEST(AccountSession, publicRouteNamesTheAccountOfAKnownKey)
{
    Accounts fixture(true);
    Peer caller = fixture.start();
    STRCMP_EQUAL("press", field(fixture.headerAtTarget(caller, "X-Key: key-1\r\n"), "X-Account").c_str());
}

TEST(AccountSession, configurationWithoutAccountsForwardsCredentials)
{
    Accounts fixture;
    RouteTable table = *fixture.gateway.routes;
    table.accounts.reset();
    fixture.gateway.routes = std::make_shared<const RouteTable>(std::move(table));
    Peer caller = fixture.start();
    STRCMP_EQUAL("key-1", field(fixture.headerAtTarget(caller, "X-Key: key-1\r\n"), "X-Key").c_str());
}

// Guards against keys that are checked only when a connection opens.
TEST(AccountSession, keyIsWithdrawnOnOpenConnections)
{
    Accounts fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "X-Key: key-1\r\n"));
    Peer connection = fixture.target.accept();
    const std::string header = connection.readHeader();
    connection.write(signedResponse(header, "ok"));
    CHECK_TRUE(contains(caller.readHeader(), " 200 "));
    caller.read(2);
    fixture.changeKeys({ "key-2" });
    caller.write(TestGateway::request("GET", "id-2", "X-Key: key-1\r\n"));
    CHECK_TRUE(contains(caller.readHeader(), " 401 "));
}

TEST(AccountSession, keyIsAddedOnOpenConnections)
{
    Accounts fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "X-Key: key-3\r\n"));
    const std::string refusal = caller.readHeader();
    CHECK_TRUE(contains(refusal, " 401 "));
    caller.read(std::stoul(field(refusal, "Content-Length")));
    fixture.changeKeys({ "key-3" });
    STRCMP_EQUAL("press", field(fixture.headerAtTarget(caller, "X-Key: key-3\r\n"), "X-Account").c_str());
}

// Guards against a request with a withdrawn key that began before the withdrawal and is completed long after it.
TEST(AccountSession, keyIsCheckedAgainAfterTheBody)
{
    Accounts fixture;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "X-Key: key-1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n"));
    CHECK_TRUE(contains(caller.readHeader(), " 100 "));
    fixture.changeKeys({ "key-2" });
    caller.write("abc");
    CHECK_TRUE(contains(caller.readHeader(), " 401 "));
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against a 401 for a key that this process doesn't know yet: callers don't retry after a 401.
TEST(AccountSession, requestWithoutAConfigurationGets503)
{
    Accounts fixture;
    fixture.gateway.routes = nullptr;
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "X-Key: key-1\r\n"));
    CHECK_TRUE(contains(caller.readHeader(), " 503 "));
}

TEST(AccountSession, requestBeyondTheLimitGets429WithItsTurnAndWithoutAnAttempt)
{
    Accounts fixture;
    fixture.gateway.context.admit = [](const ClientAccount &, std::uint32_t) -> DataAwaitable<std::optional<Duration>> {
        co_return Millis(1'250);
    };
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "X-Key: key-1\r\n"));
    const std::string header = caller.readHeader();
    CHECK_TRUE(contains(header, " 429 "));
    STRCMP_EQUAL("1.250", field(header, "Retry-After").c_str());
    CHECK_FALSE(fixture.target.hasConnection());
}

// Guards against accounts whose own priority is ignored, or that are the most urgent ones if they have none.
TEST(AccountSession, accountsOwnPriorityReplacesThatOfTheRoute)
{
    for (const std::optional<std::uint32_t> own :
         { std::optional<std::uint32_t> {}, std::optional<std::uint32_t> { 1 } }) {
        Accounts fixture;
        RouteTable table = *fixture.gateway.routes;
        table.hosts["press.example"].front().priority = 2;
        ClientAccount account;
        account.name = AccountName("press");
        account.priority = own;
        table.accounts.emplace();
        table.accounts->add(account, { "key-1" });
        CHECK_TRUE(table.accounts->seal().has_value());
        fixture.gateway.routes = std::make_shared<const RouteTable>(std::move(table));
        std::optional<std::uint32_t> admitted;
        fixture.gateway.context.admit = [&admitted](const ClientAccount &,
                                                    std::uint32_t priority) -> DataAwaitable<std::optional<Duration>> {
            admitted = priority;
            co_return Millis(1'250);
        };
        Peer caller = fixture.start();
        caller.write(TestGateway::request("GET", "id-1", "X-Key: key-1\r\n"));
        CHECK_TRUE(contains(caller.readHeader(), " 429 "));
        CHECK_EQUAL(own.value_or(2), admitted.value());
    }
}

TEST(AccountSession, requestWithoutAKnownKeyDoesNotCountAgainstALimit)
{
    Accounts fixture;
    int admitted = 0;
    fixture.gateway.context.admit = [&admitted](const ClientAccount &,
                                                std::uint32_t) -> DataAwaitable<std::optional<Duration>> {
        ++admitted;
        co_return std::nullopt;
    };
    Peer caller = fixture.start();
    caller.write(TestGateway::request("GET", "id-1", "X-Key: key-3\r\n"));
    CHECK_TRUE(contains(caller.readHeader(), " 401 "));
    CHECK_EQUAL(0, admitted);
}

// Guards against limits that are used up by requests that targets turn away.
TEST(AccountSession, requestThatHasNotRunIsGivenBack)
{
    Accounts fixture;
    std::string givenBack;
    fixture.gateway.context.giveBack = [&givenBack](const ClientAccount &account) {
        givenBack += account.name.value();
    };
    Peer caller = fixture.start();
    caller.write(TestGateway::request("POST", "id-1", "X-Key: key-1\r\nContent-Length: 0\r\n"));
    Peer connection = fixture.target.accept();
    connection.readHeader();
    connection.write("HTTP/1.1 503 Full\r\nX-Attempt: id-1\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(contains(caller.readHeader(), " 503 "));
    STRCMP_EQUAL("press", givenBack.c_str());
}
