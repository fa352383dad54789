#!/usr/bin/env node
import { installEarlyHandlers } from "../dist/process/early_handlers.js";

// Before the rest is loaded, as by default signals end the process.
installEarlyHandlers();
const { main } = await import("../dist/main.js");
await main(process.argv);
