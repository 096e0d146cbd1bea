#!/usr/bin/env node
import {main} from '../dist/lib/slopes/slopes_command.js';

await main(process.argv.slice(2));
process.exit();
