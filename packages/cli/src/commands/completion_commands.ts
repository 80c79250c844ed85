import { type Command, Option } from "commander";
import { ok } from "neverthrow";
import {
  addExamples,
  type CommandContext,
  CommandGroup,
  registerCommandGroup,
} from "./command_group.ts";

enum Shell {
  Bash = "bash",
  Zsh = "zsh",
}

/** The command `completion`. */
export class CompletionCommands extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const completion = program.command("completion")
      .description("print a completion script for a shell");
    for (const shell of Object.values(Shell)) {
      const command = completion.command(shell)
        .description(`print the script for ${shell}`)
        .action(() => {
          const text = renderCompletion(context.program, shell);
          context.show(ok({ json: text, text }));
        });
      addExamples(command, [`completion ${shell} > mustardweir.${shell}`]);
    }
  }
}

registerCommandGroup(new CompletionCommands());

/** Returns a script that completes subcommands and flags of each command. */
function renderCompletion(program: Command, shell: Shell): string {
  const cases = listCommands(program, "").map(({ path, words }) =>
    `    "${path}") words="${words.join(" ")}" ;;`
  );
  const header = shell === Shell.Zsh
    ? ["autoload -U +X bashcompinit && bashcompinit"]
    : [];
  return [
    ...header,
    "_mustardweir() {",
    '  local path="" word words=""',
    '  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do',
    '    case "$word" in -*) ;; *) path="${path:+$path }$word" ;; esac',
    "  done",
    '  case "$path" in',
    ...cases,
    "  esac",
    '  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
    "}",
    "complete -o default -F _mustardweir mustardweir",
  ].join("\n");
}

interface CommandWords {
  readonly path: string;
  readonly words: readonly string[];
}

function listCommands(command: Command, path: string): CommandWords[] {
  const flags = command.options.map((option: Option) => option.long ?? "");
  const names = command.commands.map((child) => child.name());
  return [
    { path, words: [...names, ...flags] },
    ...command.commands.flatMap((child) =>
      listCommands(child, `${path} ${child.name()}`.trim())
    ),
  ];
}
