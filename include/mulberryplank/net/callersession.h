#pragma once

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/net/callercontext.h"
#include "mulberryplank/net/exchange.h"
#include "mulberryplank/net/worker.h"

namespace mulberryplank
{

// One connection from a caller: reads its requests one after the other, so that pipelined ones are answered in order,
// and answers each.
class CallerSession
{
public:
    CallerSession(DataSocket socket, Worker &worker, CallerContext &context);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    // Runs until the connection ends.
    DataAwaitable<void> run();

private:
    // What serveOne() works on.
    struct Request {
        explicit Request(const CallerLimits &limits);

        RequestParser parser;
        std::string id;
        std::string body;
        bool bodyComplete = false;
        bool expectsContinue = false;
        bool keepAlive = false;
        bool head = false;
        Instant arrived {};
        AccountName account;
        ServiceName service;
        std::string path; // towards the target
    };

    DataAwaitable<bool> serveOne();
    DataAwaitable<Result<void>> readBody(Request &request, Instant deadline, bool keyed);
    DataAwaitable<Result<void>> readWholeBody(Request &request, Instant deadline, std::size_t most);
    DataAwaitable<bool> refuse(const Request &request, const Error &error);
    DataAwaitable<bool> answer(const Request &request, OwnAnswer answer);
    DataAwaitable<bool> relay(Request &request);
    DataAwaitable<bool> relayOnce(Request &request, ExchangeRequest exchange, std::string key);
    DataAwaitable<bool> runExchange(Request &request, ExchangeRequest exchange);
    DataAwaitable<bool> conclude(const Request &request, const ExchangeEnd &end);
    DataAwaitable<bool> answerOnceDecision(const Request &request, const AtMostOnceDecision &decision);
    DataAwaitable<bool> forwardToPeer(Request &request, ExchangeRequest exchange, Endpoint peer);
    DataAwaitable<bool> serveInternal(Request &request);
    Result<void> identify(Request &request);
    Result<void> countFor(const AccountName &account);
    Result<ExchangeRequest> prepare(Request &request);
    Result<void> splitTarget(Request &request) const;

    Worker &m_worker;
    CallerContext &m_context;
    HttpStream m_stream;
    std::string m_provenAuthorization; // the last Authorization value that was found right
    SecretDigest m_provenDigest {}; // and the digest that it was right for
    AccountName m_countedAccount; // whose connection this is; empty: nobody has proven who it is
    bool m_answered = false; // the last thing that happened was an answer
};

} // namespace mulberryplank
