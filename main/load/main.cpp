#include "main/load/load_app.h"

int main(int argc, char** argv) {
    return teaselpitch::run_load_app(argc, argv);
}
