#!/usr/bin/env node
import {main} from '../dist/lib/process/stand_ins_command.js';

process.exitCode = await main(process.argv.slice(2));
