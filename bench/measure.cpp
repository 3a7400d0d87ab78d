#include "measure.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace bench
{

namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().empty())
        throw std::runtime_error("cannot read " + path);
    return text.str();
}

std::uint64_t number_after(const std::string& text, const std::string& name)
{
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size()));
}

} // namespace

double cpu_seconds(pid_t pid)
{
    const std::string text = read_file("/proc/" + std::to_string(pid) + "/stat");
    // The program name, in parentheses, may contain spaces; the fields after it do not.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    constexpr int fields_before_utime = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_utime; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t resident_bytes(pid_t pid)
{
    std::istringstream fields(read_file("/proc/" + std::to_string(pid) + "/statm"));
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    fields >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t tcp_bytes(std::uint16_t port)
{
    const std::string command = "ss -tinH state established sport = :" + std::to_string(port);
    const std::unique_ptr<FILE, int (*)(FILE*)> pipe(popen(command.c_str(), "r"), &pclose);
    if (!pipe)
        throw std::runtime_error("cannot run ss");
    std::uint64_t total = 0;
    char line[4096];
    while (std::fgets(line, sizeof line, pipe.get()) != nullptr)
    {
        total += number_after(line, "bytes_sent:");
        total += number_after(line, "bytes_received:");
    }
    return total;
}

line_fit fit(const std::vector<double>& x, const std::vector<double>& y)
{
    const auto n = static_cast<double>(x.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    double sum_yy = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        sum_x += x[i];
        sum_y += y[i];
        sum_xx += x[i] * x[i];
        sum_xy += x[i] * y[i];
        sum_yy += y[i] * y[i];
    }
    const double var_x = sum_xx - sum_x * sum_x / n;
    const double var_y = sum_yy - sum_y * sum_y / n;
    const double covariance = sum_xy - sum_x * sum_y / n;
    line_fit out;
    if (var_x <= 0)
        return out;
    out.slope = covariance / var_x;
    out.offset = (sum_y - out.slope * sum_x) / n;
    out.r_squared = var_y <= 0 ? 1 : covariance * covariance / (var_x * var_y);
    return out;
}

} // namespace bench
