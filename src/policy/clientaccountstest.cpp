#include "mulberryplank/policy/clientaccounts.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

ClientAccount account(const std::string &name)
{
    ClientAccount account;
    account.name = AccountName(name);
    return account;
}

} // namespace

TEST_GROUP(ClientAccounts) {};

TEST(ClientAccounts, eachKeyLeadsToItsAccount)
{
    ClientAccounts accounts;
    accounts.add(account("press"), { "key-1", "key-2" });
    accounts.add(account("farm"), { "key-3" });
    CHECK_TRUE(accounts.seal().has_value());
    STRCMP_EQUAL("press", accounts.find("key-1")->name.value().c_str());
    STRCMP_EQUAL("press", accounts.find("key-2")->name.value().c_str());
    STRCMP_EQUAL("farm", accounts.find("key-3")->name.value().c_str());
}

TEST(ClientAccounts, unknownKeyLeadsToNoAccount)
{
    ClientAccounts accounts;
    accounts.add(account("press"), { "key-1" });
    accounts.add(account("withoutKeys"), {});
    CHECK_TRUE(accounts.seal().has_value());
    for (const std::string_view unknown : { "", "key-", "key-11", "KEY-1", "press" }) {
        POINTERS_EQUAL(nullptr, accounts.find(unknown));
    }
}

TEST(ClientAccounts, accountIsFoundByName)
{
    ClientAccounts accounts;
    accounts.add(account("press"), { "key-1" });
    accounts.add(account("farm"), { "key-2" });
    CHECK_TRUE(accounts.seal().has_value());
    STRCMP_EQUAL("farm", accounts.findNamed(AccountName("farm"))->name.value().c_str());
    POINTERS_EQUAL(accounts.find("key-1"), accounts.findNamed(AccountName("press")));
    POINTERS_EQUAL(nullptr, accounts.findNamed(AccountName("clinic")));
}

TEST(ClientAccounts, accountMayNameItsKeyTwice)
{
    ClientAccounts accounts;
    accounts.add(account("press"), { "key-1", "key-1" });
    CHECK_TRUE(accounts.seal().has_value());
}

// Guards against an account that is served as another one.
TEST(ClientAccounts, sharedKeyIsAnErrorThatNamesTheAccountsButNotTheKey)
{
    ClientAccounts accounts;
    accounts.add(account("press"), { "key-1" });
    accounts.add(account("farm"), { "key-1" });
    const Result<void> sealed = accounts.seal();
    CHECK_TRUE(sealed.error().kind == ErrorKind::BadConfiguration);
    CHECK_TRUE(sealed.error().detail.find("press") != std::string::npos);
    CHECK_TRUE(sealed.error().detail.find("farm") != std::string::npos);
    CHECK_TRUE(sealed.error().detail.find("key-1") == std::string::npos);
}

TEST(ClientAccounts, repeatedNameIsAnError)
{
    ClientAccounts accounts;
    accounts.add(account("press"), { "key-1" });
    accounts.add(account("press"), { "key-2" });
    CHECK_TRUE(accounts.seal().error().detail.find("press") != std::string::npos);
}
