"""`basilpost questionnaire`: prompts for the answers of a new team, or checks a file of them."""

import json
from typing import Any

import click

from basilpost.cli import client, prompts
from basilpost.core import codec
from basilpost.settings import answers, loader
from basilpost.settings import questionnaire as questionnaires


@click.command()
@click.option(
    "--answers", "file", type=click.Path(dir_okay=False), help="Read this file instead of asking."
)
@click.option(
    "-o", "--output", type=click.File("w"), default="-", help="Where to write the answers."
)
@click.option("--explain", is_flag=True, help="Print all questions and what they are for.")
def questionnaire(file: str | None, output: Any, explain: bool) -> None:
    """Asks what a new team needs, and writes the answers as JSON with comments.

    `basilpost config generate` makes the configuration from the answers.

    Example: basilpost questionnaire -o answers.jsonc
    """
    if explain:
        click.echo(explain_questions(), nl=False)
        return
    try:
        given = questionnaires.load(file) if file else prompts.ask_all()
        errors = questionnaires.check(given, file=file or "answers")
        if errors:
            raise loader.SettingsError(errors)
    except loader.SettingsError as error:
        raise client.BadSettings(error) from error
    output.write(render_answers(given))


def render_answers(given: answers.Answers) -> str:
    """Returns answers as the text of an answers file."""
    plain = codec.json_converter().unstructure(given)
    text = json.dumps(plain, indent=2, ensure_ascii=False)
    return f"// Answers of {given.team}; see `basilpost questionnaire --explain`.\n{text}\n"


def explain_questions() -> str:
    """Returns all questions as Markdown, as on the operators' page."""
    return "".join(
        f"- `{path}`: {question.text} {question.why} Allowed: {question.check.allowed}.\n"
        for path, question in questionnaires.walk_questions()
    )
