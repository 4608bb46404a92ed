// Stand-in for the platform's key-value service and instance list.

#include "standin/platform_server.h"

#include <iostream>

#include <tclap/CmdLine.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv)
{
    TCLAP::CmdLine parser("standin_platform: key-value service on loopback for demonstrations and tests", ' ', "0.1");
    TCLAP::ValueArg<std::string> address("", "address", "service port", true, "", "ip:port", parser);
    TCLAP::ValueArg<std::string> admin("", "admin", "administration port", true, "", "ip:port", parser);
    TCLAP::MultiArg<std::string> instances("", "instance", "peer port of a live daemon", false, "ip:port", parser);
    parser.parse(argc, argv);

    using namespace citronfall;
    standin::http_server loop;
    const auto platform = standin::platform_server::make(
        loop, {.address = address.getValue(), .admin_address = admin.getValue(), .instances = instances.getValue()});
    if (!ok(platform)) {
        std::cerr << "standin_platform: " << error_of(platform)->detail << '\n';
        return 1;
    }
    loop.run();
    return 0;
}
