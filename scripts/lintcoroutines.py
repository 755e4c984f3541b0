#!/usr/bin/env python3
"""Finds braced temporaries in full expressions that contain co_await: scripts/lintcoroutines.py FILE...

GCC 12 destroys the members of an aggregate-initialized temporary twice if its full expression contains co_await, which
corrupts the heap. Whether a braced temporary is an aggregate isn't visible in the text, so each one is reported: a named
variable takes its place. Prints "FILE:LINE: ..." for each one. Exit code 0: none; 1: some.
"""
import re
import sys

TOKEN = re.compile(
    r'(?P<comment>//[^\n]*|/\*.*?\*/)'
    r'|(?P<raw>R"(?P<delimiter>[^()\s\\]{0,16})\(.*?\)(?P=delimiter)")'
    r'|(?P<string>"(?:\\.|[^"\\\n])*"|(?<!\w)\'(?:\\.|[^\'\\\n])+\')'
    r'|(?P<directive>^[ \t]*#(?:\\\n|[^\n])*)'
    r"|(?P<word>\w(?:\w|'\w)*)"
    r'|(?P<symbol>->|::|[^\s\w])', re.DOTALL | re.MULTILINE)
TYPE_DEFINITIONS = {'struct', 'class', 'enum', 'union', 'namespace', 'extern'}
BEFORE_BLOCK = {')', ']', ';', '{', '}', ':', 'else', 'do', 'try', 'mutable', 'noexcept', 'const', 'override', 'final'}
# A word before the name of a braced object that makes the braces a temporary and not the initializer of a variable.
BEFORE_TEMPORARY = {'co_return', 'co_await', 'co_yield', 'return', 'throw', 'case', 'new', 'else', 'do'}


class Statement:
    """A full expression, or the part of a statement before its block."""

    def __init__(self):
        self.words = []
        self.awaits = False
        self.temporaries = []  # lines
        self.open = []  # brackets of the expression that are open


def tokens(text):
    """Yields (token, line) without comments, directives and the contents of literals."""
    line, at = 1, 0
    for match in TOKEN.finditer(text):
        line += text.count('\n', at, match.start())
        at = match.start()
        if match.lastgroup in ('comment', 'directive'):
            continue
        yield ('""' if match.lastgroup in ('raw', 'delimiter', 'string') else match.group()), line


def opens_block(statement):
    """Tells whether the next brace opens a block, as opposed to an initializer."""
    words = statement.words
    if not words or words[-1] in BEFORE_BLOCK:
        return not (words and words[-1] == '{' and statement.open)
    if words[0] in TYPE_DEFINITIONS or (words[0] == 'template' and TYPE_DEFINITIONS & set(words)):
        return not statement.open
    for word in reversed(words):  # a lambda with a trailing return type
        if word == '->':
            return True
        if word in (')', '(', ',', '=', ';'):
            break
    return False


def is_temporary(statement):
    """Tells whether the initializer that begins next creates a temporary, as opposed to a variable."""
    words = statement.words
    if words[-1] in ('=', '{') and not [bracket for bracket in statement.open if bracket == '(']:
        return False  # initializes a variable, or a part of one
    if not (words[-1][0].isalnum() or words[-1][0] == '_') or words[-1] in BEFORE_TEMPORARY:
        return True
    before = words[-2] if len(words) > 1 else ''
    declares = before in ('>', '&', '*') or ((before[:1].isalnum() or before[:1] == '_')
                                             and before not in BEFORE_TEMPORARY)
    return not declares or bool(statement.open)


def check(text):
    """Returns the lines of all braced temporaries whose full expression contains co_await."""
    found = []
    stack = [Statement()]

    def end(statement):
        if statement.awaits:
            found.extend(statement.temporaries)

    for token, line in tokens(text):
        statement = stack[-1]
        if token == '{':
            if opens_block(statement):
                if statement.open:  # the body of a lambda within an expression
                    statement.words.append('{')
                else:
                    end(statement)
                    stack[-1] = Statement()
                stack.append(Statement())
                continue
            if is_temporary(statement):
                statement.temporaries.append(line)
            statement.open.append('{')
        elif token in '([' and len(token) == 1:
            statement.open.append(token)
        elif token in (')', ']') and statement.open:
            statement.open.pop()
        elif token == '}':
            if statement.open and statement.open[-1] == '{':
                statement.open.pop()
            else:
                end(statement)
                if len(stack) > 1:
                    stack.pop()
                stack[-1].words.append('}')
                continue
        elif token == ';' and not [bracket for bracket in statement.open if bracket != '(']:
            # Also the parts of the head of a for statement.
            end(statement)
            head = statement.open
            stack[-1] = Statement()
            stack[-1].open = head
            continue
        if token == 'co_await':
            statement.awaits = True
        statement.words.append(token)
    return sorted(found)


def main():
    status = 0
    for path in sys.argv[1:]:
        with open(path, encoding='utf-8') as file:
            for line in check(file.read()):
                print(f'{path}:{line}: a braced temporary in an expression with co_await; GCC 12 destroys it twice: '
                      'give it a name')
                status = 1
    return status


if __name__ == '__main__':
    sys.exit(main())
