#pragma once

#include <chrono>
#include <memory>
#include <random>

#include <malloc.h>

#include "scheduler.h"

namespace mulberryplank::fairnessmodel
{

struct RequestCost {
    double nanoseconds = 0; // processor time for one request: offered, started, finished
    double bytesPerAccount = 0; // of an account that has sent requests and has none in progress
};

// Measures a scheduler with requests of `accounts` accounts in random order. One request per account is enqueued before
// the measurement, so that about `accounts` requests wait at any time.
inline RequestCost measureRequestCost(Scheduler &scheduler, AccountIndex accounts, int rounds)
{
    std::mt19937 random(1);
    Instant now = Instant {} + Seconds(1'000);
    RequestId last = 0;
    const auto offer = [&](AccountIndex account) {
        scheduler.offer(++last, account, 0, now + Seconds(100'000), now);
    };
    for (AccountIndex account = 0; account < accounts; ++account) {
        offer(account);
    }
    std::deque<RequestId> running;
    const auto startTime = std::chrono::steady_clock::now();
    const int requests = rounds * static_cast<int>(accounts);
    for (int request = 0; request < requests; ++request) {
        now += std::chrono::microseconds(10);
        offer(static_cast<AccountIndex>(random() % accounts));
        if (const std::optional<RequestId> next = scheduler.next(now)) {
            running.push_back(*next);
        }
        if (running.size() > 64) {
            scheduler.finished(running.front(), std::chrono::microseconds(640), now);
            running.pop_front();
        }
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - startTime;
    return { elapsed.count() / requests, 0 };
}

// Returns the heap bytes per account, for accounts that have sent one request and are idle.
inline double measureBytesPerAccount(AccountIndex accounts)
{
    const std::size_t before = mallinfo2().uordblks;
    FairQueue queue { FairQueueSettings {} };
    const Instant now = Instant {} + Seconds(1'000);
    for (AccountIndex account = 0; account < accounts; ++account) {
        queue.setAccount(account, 1, {});
        if (queue.enqueue(account, account, 0, now + Seconds(10), now)) {
            queue.next(now);
            queue.finished(account, Millis(20), now);
        }
    }
    return static_cast<double>(mallinfo2().uordblks - before) / accounts;
}

} // namespace mulberryplank::fairnessmodel
