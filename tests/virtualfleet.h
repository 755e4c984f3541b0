#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "mulberryplank/policy/membership.h"

namespace mulberryplank
{

// Runs many Membership objects in one thread on virtual time. The message queue between them can lose, delay and block
// messages. For tests and benchmarks.
class VirtualFleet
{
public:
    struct Node {
        Member self;
        std::unique_ptr<Membership> membership; // null: not running
        Instant pausedUntil {};
        std::size_t queuedMessages = 0; // that arrived during the pause
        std::uint32_t run = 0; // number of starts
        std::uint64_t messagesSent = 0;
        std::uint64_t bytesSent = 0;
        std::vector<MembershipEvent> events;
    };

    VirtualFleet(std::size_t size, MembershipSettings settings, std::uint64_t seed)
        : m_settings(std::move(settings))
        , m_random(seed)
        , m_nodes(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_byPort[endpoint(i).port] = i;
        }
        m_settings.seeds = { endpoint(0), endpoint(size / 2) };
    }

    // Starts a process, or restarts it under another incarnation.
    void start(std::size_t index)
    {
        Node &node = m_nodes[index];
        node.self.vm = VmName("vm-" + std::to_string(index));
        node.self.incarnation = m_random() | 1;
        node.self.peer = endpoint(index);
        node.self.caller = { "127.0.0.1", 80 };
        node.self.failureDomain = FailureDomain("hall-" + std::to_string(index % 6));
        node.self.ready = true;
        node.membership = std::make_unique<Membership>(node.self, m_settings, m_random());
        node.pausedUntil = {};
        ++node.run;
        schedule({ m_now + Millis(m_random() % 100), 0, index, node.run, nullptr });
    }

    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            start(i);
        }
    }

    // Makes all processes know each other, as in a fleet that has been running for a while.
    void introduceAll()
    {
        MemberExchange all;
        for (const Node &node : m_nodes) {
            all.updates.push_back(node.membership->exchangeRequest().front());
        }
        for (Node &node : m_nodes) {
            node.membership->mergeExchange(all, m_now);
            node.membership->takeEvents();
        }
    }

    void kill(std::size_t index)
    {
        m_nodes[index].membership.reset();
    }

    void pause(std::size_t index, Duration length)
    {
        m_nodes[index].pausedUntil = m_now + length;
        m_nodes[index].queuedMessages = 0;
    }

    void run(Duration length)
    {
        const Instant end = m_now + length;
        while (!m_queue.empty() && m_queue.top().at <= end) {
            const Item item = m_queue.top();
            m_queue.pop();
            m_now = item.at;
            handle(item);
        }
        m_now = end;
    }

    // Returns the status that `observer` has of `subject`'s current incarnation, or Dead if it doesn't know it.
    MemberStatus statusOf(std::size_t subject, std::size_t observer) const
    {
        for (const Member &member : m_nodes[observer].membership->members()) {
            if (member.incarnation == m_nodes[subject].self.incarnation) {
                return member.status;
            }
        }
        return MemberStatus::Dead;
    }

    // Returns the number of other running processes that list `subject`'s current incarnation as alive or leaving.
    std::size_t countSeeingAlive(std::size_t subject) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i == subject || !m_nodes[i].membership) {
                continue;
            }
            const MemberStatus status = statusOf(subject, i);
            count += status == MemberStatus::Alive || status == MemberStatus::Leaving ? 1 : 0;
        }
        return count;
    }

    Node &node(std::size_t index)
    {
        return m_nodes[index];
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }

    Instant now() const
    {
        return m_now;
    }

    Endpoint endpoint(std::size_t index) const
    {
        return { "10.0.0.1", static_cast<std::uint16_t>(1'000 + index) };
    }

    std::size_t maxQueuedMessages = 200; // socket buffer of a paused process, in messages
    std::size_t exchanges = 0; // of whole lists, including those without a response
    double loss = 0; // share of lost datagrams, 0 to 1
    std::function<bool(std::size_t from, std::size_t to)> blocked; // links that are cut, by direction
    std::function<std::size_t(const MembershipMessage &)> sizeOf; // computes bytesSent
    std::function<void(std::size_t node, const MembershipEvent &)> onEvent;

private:
    struct Item {
        Instant at;
        std::uint64_t number; // keeps the order of items that are due at the same time
        std::size_t node;
        std::uint32_t run;
        std::shared_ptr<std::pair<Endpoint, MembershipMessage>> message; // null: a tick

        bool operator<(const Item &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    static constexpr Millis TickInterval { 100 };

    void schedule(Item item)
    {
        item.number = m_nextNumber++;
        m_queue.push(std::move(item));
    }

    bool passes(std::size_t from, std::size_t to) const
    {
        return !blocked || !blocked(from, to);
    }

    void handle(const Item &item)
    {
        Node &node = m_nodes[item.node];
        if (!node.membership || (!item.message && item.run != node.run)) {
            return;
        }
        if (node.pausedUntil > m_now) {
            // On resume the timer fires before any message is read, which is the worse order.
            if (!item.message) {
                m_queue.push({ node.pausedUntil, 0, item.node, item.run, nullptr });
            } else if (node.queuedMessages++ < maxQueuedMessages) {
                schedule({ node.pausedUntil, 0, item.node, item.run, item.message });
            }
            return;
        }
        if (item.message) {
            deliver(item.node, node.membership->receive(item.message->first, item.message->second, m_now));
        } else {
            schedule({ m_now + TickInterval, 0, item.node, item.run, nullptr });
            deliver(item.node, node.membership->tick(m_now));
            exchange(item.node);
        }
        for (MembershipEvent &event : node.membership->takeEvents()) {
            if (onEvent) {
                onEvent(item.node, event);
            }
        }
    }

    void deliver(std::size_t from, std::vector<OutgoingMessage> messages)
    {
        for (OutgoingMessage &outgoing : messages) {
            ++m_nodes[from].messagesSent;
            m_nodes[from].bytesSent += sizeOf ? sizeOf(outgoing.message) : 0;
            const std::size_t to = m_byPort.at(outgoing.to.port);
            const bool lost = std::uniform_real_distribution<>(0, 1)(m_random) < loss;
            if (lost || !passes(from, to)) {
                continue;
            }
            auto message =
                std::make_shared<std::pair<Endpoint, MembershipMessage>>(endpoint(from), std::move(outgoing.message));
            const auto delay = std::chrono::microseconds(500 + m_random() % 3'000);
            schedule({ m_now + delay, 0, to, 0, std::move(message) });
        }
    }

    void exchange(std::size_t from)
    {
        exchangeWith(from, m_nodes[from].membership->seedQueryDue(m_now));
        exchangeWith(from, m_nodes[from].membership->exchangeDue(m_now));
    }

    void exchangeWith(std::size_t from, const std::optional<Endpoint> &with)
    {
        if (!with) {
            return;
        }
        ++exchanges;
        const std::size_t to = m_byPort.at(with->port);
        Node &peer = m_nodes[to];
        if (!peer.membership || peer.pausedUntil > m_now || !passes(from, to) || !passes(to, from)) {
            return;
        }
        const auto request = m_nodes[from].membership->exchangeRequest();
        m_nodes[from].membership->mergeExchange(peer.membership->respondToExchange(request, m_now), m_now);
    }

    MembershipSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::unordered_map<std::uint16_t, std::size_t> m_byPort;
    std::priority_queue<Item> m_queue;
    std::uint64_t m_nextNumber = 0;
    Instant m_now { Seconds(1'000) };
};

} // namespace mulberryplank
