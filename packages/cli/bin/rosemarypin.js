#!/usr/bin/env node
/** Entry that npm links before anything is built. */
import "../dist/main.js";
