#include "mulberryplank/policy/peerchoice.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

Member member(Incarnation incarnation, std::uint64_t applied, std::uint32_t capacity = 100)
{
    Member result;
    result.incarnation = incarnation;
    result.applied = applied;
    result.capacity = capacity;
    result.status = MemberStatus::Alive;
    return result;
}

} // namespace

TEST_GROUP(PeerChoice)
{
    RecentlyFailedPeers failedPeers { Seconds(2) };
    Instant now { Seconds(100) };
    std::mt19937_64 random { 7 };
};

// Guards against a process that keeps using an old configuration for five seconds.
TEST(PeerChoice, peerWithTheNewVersionIsChosen)
{
    for (int i = 0; i < 20; ++i) {
        const auto peer = choosePeerForUpdate(
            { member(1, 5), member(2, 6), member(3, 5), member(4, 5) }, 9, 5, failedPeers, now, random);
        CHECK_EQUAL(2, peer->incarnation);
    }
}

TEST(PeerChoice, anyPeerIsChosenIfNoneHasANewerVersion)
{
    CHECK(choosePeerForUpdate({ member(1, 5), member(2, 4) }, 9, 5, failedPeers, now, random).has_value());
}

TEST(PeerChoice, peersWithHigherCapacityAreChosenMoreOften)
{
    int highCapacityChosen = 0;
    for (int i = 0; i < 400; ++i) {
        highCapacityChosen +=
            choosePeerForUpdate({ member(1, 5, 500), member(2, 5, 100) }, 9, 4, failedPeers, now, random)->incarnation
                    == 1
                ? 1
                : 0;
    }
    CHECK(highCapacityChosen > 250);
    CHECK(highCapacityChosen < 350);
}

TEST(PeerChoice, neitherSelfNorDeadMembersAreChosen)
{
    Member dead = member(1, 9);
    dead.status = MemberStatus::Dead;
    CHECK_FALSE(choosePeerForUpdate({ dead, member(9, 9) }, 9, 5, failedPeers, now, random).has_value());
}

TEST(PeerChoice, failedPeerIsNotChosenWithinTheLifetime)
{
    failedPeers.note(1, now);
    for (int i = 0; i < 20; ++i) {
        const auto peer =
            choosePeerForUpdate({ member(1, 5), member(2, 5) }, 9, 5, failedPeers, now + Seconds(1), random);
        CHECK_EQUAL(2, peer->incarnation);
    }
    CHECK_FALSE(failedPeers.contains(1, now + Seconds(3)));
}

TEST(PeerChoice, failedPeerIsChosenIfAllFailed)
{
    failedPeers.note(1, now);
    CHECK_EQUAL(1, choosePeerForUpdate({ member(1, 5) }, 9, 5, failedPeers, now, random)->incarnation);
}

// Guards against querying the designated reader, which gives no response, once more as one of the other processes.
TEST(PeerChoice, targetListsAreNotRequestedFromTheDesignatedReader)
{
    const std::vector<Member> members { member(1, 5), member(2, 5), member(9, 5) };
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(2, choosePeerForTargetList({ member(1, 5) }, members, 9, 1, failedPeers, now, random)->incarnation);
    }
    CHECK_FALSE(
        choosePeerForTargetList({}, { member(1, 5), member(9, 5) }, 9, 1, failedPeers, now, random).has_value());
}

TEST(PeerChoice, targetListsAreRequestedElsewhereOnlyIfAllIngressProxiesFailed)
{
    const std::vector<Member> ingressProxies { member(1, 5), member(9, 5) };
    const std::vector<Member> members { member(1, 5), member(2, 5), member(9, 5) };
    CHECK_EQUAL(1, choosePeerForTargetList(ingressProxies, members, 9, 9, failedPeers, now, random)->incarnation);
    failedPeers.note(1, now);
    CHECK_EQUAL(2, choosePeerForTargetList(ingressProxies, members, 9, 9, failedPeers, now, random)->incarnation);
}

// Guards against a process that is queried again and again while its response has stopped midway.
TEST(PeerChoice, peerThatTakesLongToRespondIsNotChosen)
{
    const std::vector<Member> candidates { member(1, 5), member(2, 6) };
    failedPeers.noteRequest(2, now);
    CHECK_EQUAL(2, choosePeerForUpdate(candidates, 9, 5, failedPeers, now, random)->incarnation);
    now += RecentlyFailedPeers::ResponsePatience;
    CHECK_EQUAL(1, choosePeerForUpdate(candidates, 9, 5, failedPeers, now, random)->incarnation);
    failedPeers.noteResponse(2);
    CHECK_EQUAL(2, choosePeerForUpdate(candidates, 9, 5, failedPeers, now, random)->incarnation);
}

TEST(PeerChoice, oldRequestWithoutAResponseIsNoFailureOfAPeerThatHasRespondedSince)
{
    failedPeers.noteRequest(1, now);
    failedPeers.noteResponse(1);
    failedPeers.noteNoResponse(1, now);
    CHECK_FALSE(failedPeers.contains(1, now));
    failedPeers.noteRequest(1, now);
    failedPeers.noteNoResponse(1, now);
    CHECK_TRUE(failedPeers.contains(1, now));
}

// Guards against a process that queries ingress proxies that lack the new version while another member has it.
TEST(PeerChoice, memberWithTheNewVersionIsChosenIfNoIngressProxyHasIt)
{
    const std::vector<Member> ingress { member(1, 5), member(2, 5) };
    const std::vector<Member> all { member(1, 5), member(2, 5), member(3, 6), member(4, 5) };
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(3, choosePeerForConfiguration(ingress, all, 9, 5, failedPeers, now, random)->incarnation);
    }
}

TEST(PeerChoice, relayIsAnIngressProxyWhileOneIsUsable)
{
    Member ingress = member(2, 1);
    ingress.ready = true;
    Member other = member(3, 1);
    other.ready = true;
    for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(2, chooseRelay({ ingress }, { ingress, other }, 1, failedPeers, now, random)->incarnation);
    }
    failedPeers.note(2, now);
    CHECK_EQUAL(3, chooseRelay({ ingress }, { ingress, other }, 1, failedPeers, now, random)->incarnation);
}

TEST(PeerChoice, relayIsAliveAndReadyAndNotThisProcess)
{
    Member self = member(1, 1);
    self.ready = true;
    Member suspect = member(2, 1);
    suspect.ready = true;
    suspect.status = MemberStatus::Suspect;
    const Member unready = member(3, 1);
    CHECK_FALSE(chooseRelay({ self }, { self, suspect, unready }, 1, failedPeers, now, random).has_value());
}
