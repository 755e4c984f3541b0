#include "mulberryplank/app/command.h"

int main(int argc, char **argv)
{
    mulberryplank::CommandContext context = mulberryplank::processContext();
    return static_cast<int>(mulberryplank::runCommand(argc, argv, context));
}
