// Stand-in for a database group: all members in one process, each on its own port.

#include "standin/group_server.h"

#include <iostream>

#include <tclap/CmdLine.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv)
{
    TCLAP::CmdLine parser("standin_group: database group on loopback for demonstrations and tests", ' ', "0.1");
    TCLAP::ValueArg<std::string> admin("", "admin", "administration port", true, "", "ip:port", parser);
    TCLAP::MultiArg<std::string> members("", "member", "member; the first by name starts as primary", true,
                                         "name=ip:port", parser);
    TCLAP::ValueArg<int> slots("", "slots", "statements that a member runs at a time", false, 3, "count", parser);
    TCLAP::ValueArg<int> connections("", "connections", "connections that a member accepts", false, 20, "count",
                                     parser);
    TCLAP::ValueArg<int> connect_ms("", "connect-ms", "time to set up a connection", false, 10, "ms", parser);
    TCLAP::ValueArg<int> service_ms("", "service-ms", "time for which a statement holds a slot", false, 1, "ms",
                                    parser);
    TCLAP::ValueArg<int> lag_ms("", "lag-ms", "replication lag", false, 5, "ms", parser);
    parser.parse(argc, argv);

    using namespace citronfall;
    standin::group_server_options options{.admin_address = admin.getValue(),
                                          .members = {},
                                          .slots = static_cast<std::size_t>(slots.getValue()),
                                          .connections = static_cast<std::size_t>(connections.getValue()),
                                          .connect_time = std::chrono::milliseconds(connect_ms.getValue()),
                                          .service_time = std::chrono::milliseconds(service_ms.getValue()),
                                          .replication_lag = std::chrono::milliseconds(lag_ms.getValue())};
    for (const std::string& member : members.getValue()) {
        const auto equals = member.find('=');
        options.members[member.substr(0, equals)] = equals == std::string::npos ? "" : member.substr(equals + 1);
    }
    standin::http_server loop;
    const auto group = standin::group_server::make(loop, options);
    if (!ok(group)) {
        std::cerr << "standin_group: " << error_of(group)->detail << '\n';
        return 1;
    }
    loop.run();
    return 0;
}
