#include "load/load_client.h"

#include "citronfall/member_call.h"
#include "core/endpoint_address.h"
#include "upstream/member_codec.h"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace citronfall::load {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using json = nlohmann::json;

using reply_hook = std::function<void(bool answered, const std::string& body)>;

/// A keep-alive connection that carries one request at a time.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(boost::asio::io_context& context, const tcp::endpoint& target) : stream_(context), target_(target)
    {
    }

    void call(const std::string& path, const std::string& body, duration timeout, reply_hook reply)
    {
        reply_ = std::move(reply);
        message_ = {http::verb::post, path, 11};
        message_.set(http::field::host, "loopback");
        message_.set(http::field::content_type, "application/json");
        message_.body() = body;
        message_.prepare_payload();
        stream_.expires_after(timeout);
        if (open_) {
            write();
            return;
        }
        stream_.async_connect(target_, [self = shared_from_this()](beast::error_code code) {
            if (code) {
                self->finish(false);
                return;
            }
            self->open_ = true;
            beast::error_code ignored;
            self->stream_.socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    [[nodiscard]] bool open() const { return open_; }

private:
    void write()
    {
        http::async_write(stream_, message_, [self = shared_from_this()](beast::error_code code, std::size_t) {
            if (code) {
                self->finish(false);
                return;
            }
            self->answer_ = {};
            http::async_read(self->stream_, self->buffer_, self->answer_,
                             [self](beast::error_code read, std::size_t) { self->finish(!read); });
        });
    }

    void finish(bool answered)
    {
        if (!answered || !answer_.keep_alive()) {
            open_ = false;
            stream_.close();
        }
        stream_.expires_never();
        std::exchange(reply_, {})(answered, answer_.body());
    }

    beast::tcp_stream stream_;
    tcp::endpoint target_;
    http::request<http::string_body> message_;
    http::response<http::string_body> answer_;
    beast::flat_buffer buffer_;
    reply_hook reply_;
    bool open_ = false;
};

class load_generator {
public:
    explicit load_generator(const load_client_options& options)
        : options_(options), timer_(context_), random_(options.seed)
    {
    }

    std::optional<error> prepare()
    {
        for (const std::string& target : options_.targets) {
            const auto address = endpoint_address::make(target);
            if (!ok(address) || !value_of(address).loopback()) {
                return error{{.kind = error_kind::bad_request, .detail = target + " is no loopback address"}};
            }
            targets_.emplace_back(boost::asio::ip::make_address(value_of(address)->host), value_of(address)->port);
        }
        idle_.resize(targets_.size());
        return std::nullopt;
    }

    std::map<std::string, load_client_result> run()
    {
        start_ = steady_now();
        intended_ = start_;
        arm();
        context_.run_for(options_.length + options_.deadline * 2);
        for (auto& [name, result] : results_) {
            result.other = result.sent - result.done - result.refused;
        }
        return std::move(results_);
    }

private:
    [[nodiscard]] double rate(duration since) const
    {
        if (since < options_.peak_from || since >= options_.peak_until) {
            return options_.rate;
        }
        const double risen = std::chrono::duration<double>(since - options_.peak_from).count() /
                             std::chrono::duration<double>(options_.peak_rise).count();
        return options_.rate * (1 + (options_.factor - 1) * std::min(1.0, risen));
    }

    void arm()
    {
        const double uniform = std::uniform_real_distribution<double>(0, 1)(random_);
        const double gap = -std::log(1 - uniform) / rate(intended_ - start_);
        intended_ += duration(static_cast<duration::rep>(gap * 1e6));
        if (intended_ - start_ >= options_.length || number_ >= options_.max_requests) {
            return;
        }
        timer_.expires_at(intended_);
        timer_.async_wait([this](beast::error_code) {
            send(intended_);
            arm();
        });
    }

    const load_client_class& pick()
    {
        double shares = 0;
        for (const load_client_class& each : options_.classes) {
            shares += each.share;
        }
        double drawn = std::uniform_real_distribution<double>(0, shares)(random_);
        for (const load_client_class& each : options_.classes) {
            drawn -= each.share;
            if (drawn < 0) {
                return each;
            }
        }
        return options_.classes.back();
    }

    void send(instant intended)
    {
        const load_client_class& kind = pick();
        ++results_[kind.name].sent;
        ++number_;
        std::string statement = kind.statement;
        if (const auto mark = statement.find('#'); mark != std::string::npos) {
            statement.replace(mark, 1, std::to_string(options_.seed) + "-" + std::to_string(number_));
        }
        const std::size_t target = number_ % targets_.size();
        std::shared_ptr<client_connection> connection;
        if (!idle_[target].empty()) {
            connection = idle_[target].back();
            idle_[target].pop_back();
        } else if (connections_ < options_.connections) {
            connection = std::make_shared<client_connection>(context_, targets_[target]);
            ++connections_;
        } else {
            return; // Counts as unanswered: the client has no free connection.
        }
        const auto [path, body] = encode(kind, statement);
        connection->call(path, body, options_.deadline * 2, [=, this, &kind](bool answered, const std::string& reply) {
            record(kind, answered ? reply : "", intended);
            if (connection->open()) {
                idle_[target].push_back(connection);
            } else {
                --connections_;
            }
        });
    }

    [[nodiscard]] std::pair<std::string, std::string> encode(const load_client_class& kind,
                                                             const std::string& statement) const
    {
        const bool write = statement.find("set ") != std::string::npos || statement.find("book ") != std::string::npos;
        const std::string id = "load-" + std::to_string(options_.seed) + "-" + std::to_string(number_);
        if (options_.direct) {
            const http_request call =
                member_codec::encode(member_call{{.operation = member_operation::statement,
                                                  .term = 1,
                                                  .request_id = id,
                                                  .kind = write ? statement_kind::write : statement_kind::read,
                                                  .statement = statement}});
            return {call->target, call->body};
        }
        return {"/v1/statements", json{{"tenant", kind.tenant},
                                       {"class", kind.name},
                                       {"group", options_.group},
                                       {"kind", write ? "write" : "read"},
                                       {"statement", statement},
                                       {"request_id", id},
                                       {"deadline_ms", options_.deadline.count() / 1000}}
                                      .dump()};
    }

    void record(const load_client_class& kind, const std::string& reply, instant intended)
    {
        load_client_result& result = results_[kind.name];
        const json body = json::parse(reply, nullptr, false);
        if (body.is_discarded() || !body.is_object()) {
            return;
        }
        const std::string outcome = body.value("outcome", body.contains("error") ? "not_run" : "done");
        if (outcome == "done") {
            ++result.done;
            result.latency.record(steady_now() - intended);
        } else if (outcome == "not_run") {
            ++result.refused;
        }
    }

    const load_client_options& options_;
    boost::asio::io_context context_;
    boost::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::vector<tcp::endpoint> targets_;
    std::vector<std::vector<std::shared_ptr<client_connection>>> idle_;
    std::size_t connections_ = 0;
    std::uint64_t number_ = 0;
    instant start_;
    instant intended_;
    std::map<std::string, load_client_result> results_;
};

} // namespace

result<std::map<std::string, load_client_result>> run_load_client(const load_client_options& options)
{
    load_generator run(options);
    if (auto problem = run.prepare()) {
        return *problem;
    }
    return run.run();
}

} // namespace citronfall::load
