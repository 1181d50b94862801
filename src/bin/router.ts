#!/usr/bin/env node
import { runDaemon } from "../node/main.js";
import { startRouter } from "../node/router.js";
import { routerSettingsSchema } from "../node/settings.js";

void runDaemon(routerSettingsSchema, startRouter);
