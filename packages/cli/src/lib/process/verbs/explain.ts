/** `oathead explain`: what became of one request or item, from the logs. */
import {readFile} from 'node:fs/promises';
import {failure, success, type Outcome} from '@oathead/core';
import {usageError, type CliError} from '../cli_error.js';
import {storyOf, storyText} from '../log_story.js';
import type {Verb} from '../verb.js';

interface ExplainArgs {
  readonly id: string;
  readonly file: readonly string[];
}

/** Prints the story of an id in order, with the inputs that decided it. */
export const EXPLAIN: Verb<ExplainArgs> = {
  command: 'explain <id> <file..>',
  describe:
    'What became of a request, an item or a job, from logs of processes',
  examples: [
    {command: '$0 explain 5f1c77aa *.log', does: 'A request, over all hosts'},
  ],
  options: parser =>
    void parser
      .positional('id', {type: 'string', describe: 'Its id'})
      .positional('file', {type: 'string', describe: 'Logs, one a process'}),
  async run({id, file}, {terminal}) {
    const texts: string[] = [];
    for (const path of file) {
      const text = await readLog(path);
      if (!text.ok) return text;
      texts.push(text.value);
    }
    const story = storyOf(id, texts);
    if (story.unreadable > 0)
      terminal.err(`${story.unreadable} lines could not be read\n`);
    if (story.lines.length === 0)
      return failure(usageError(`no line names ${id}`));
    terminal.out(storyText(story));
    return success(undefined);
  },
};

async function readLog(path: string): Promise<Outcome<string, CliError>> {
  try {
    return success(await readFile(path, 'utf8'));
  } catch (err) {
    return failure(usageError((err as Error).message));
  }
}
