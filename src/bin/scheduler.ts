#!/usr/bin/env node
import { runDaemon } from "../node/runDaemon.js";
import { startScheduler } from "../node/scheduler.js";
import { checkSchedulerSettings } from "../node/settings.js";

void runDaemon(checkSchedulerSettings, startScheduler);
